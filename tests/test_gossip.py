"""Tests of the gossip task over a fake of the channels."""

import asyncio
import random
import time
from typing import Any

import pytest

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import build
from lycheerock._internal.membership import codec
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import events
from lycheerock._internal.membership import gossip as gossip_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib
from lycheerock._internal.membership import target_news
from lycheerock_protocol import peer_pb2

COUNT = 20
# Ends a test that would hang.
HANG_S = 60.0


class FakeChannels:
    """Hands each call to the gossip task of the address."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}

    def get(self, address: str) -> Any:
        channels = self

        class Channel:
            def unary_unary(self, *_args: Any, **_kwargs: Any) -> Any:
                async def call(message: Any, **_: Any) -> Any:
                    return await channels.nodes[address].gossip.serve(message)

                return call

            def stream_stream(self, *_args: Any, **_kwargs: Any) -> None:
                return None

        return Channel()


def build_member(instance_id: str) -> members_lib.Member:
    return members_lib.Member(
        instance_id, 7, members_lib.MemberState.ALIVE, instance_id, "r", "z"
    )


class Node:
    """One gossip task that adopts any higher bundle number."""

    def __init__(self, instance_id: str, channels: FakeChannels, seed: int):
        rng = random.Random(f"{seed}/{instance_id}")
        own = build_member(instance_id)
        self.states = target_states.TargetStates()
        self.swim = swim_lib.Swim(own, rng, time.monotonic())
        directory = directory_lib.Directory(own)
        self.numbers = members_lib.BundleNumbers(1)
        self.heard: list[tuple[str, members_lib.BundleNumbers]] = []
        self.gossip = gossip_lib.Gossip(
            build.Membership(
                self.swim,
                directory,
                seeds_lib.Seeds(directory, {}, rng),
                target_news.TargetNews(self.states, self.swim.announce),
            ),
            channels,
            lambda: self.numbers,
            self._on_peer_bundle,
        )
        channels.nodes[instance_id] = self

    def _on_peer_bundle(
        self, member: members_lib.Member, numbers: members_lib.BundleNumbers
    ) -> None:
        self.heard.append((member.instance_id, numbers))
        if numbers.in_force > self.numbers.in_force:
            self.numbers = numbers


def build_fleet() -> list[Node]:
    channels = FakeChannels()
    nodes = [Node(f"i{n}", channels, 1) for n in range(COUNT)]
    for node in nodes:
        for other in nodes:
            if other is not node:
                node.swim.handle(events.Heard(other.swim.own), time.monotonic())
    return nodes


class TestServe:
    """Replies carry what the requester needs."""

    def test_newcomer_gets_the_full_state(self) -> None:
        # Guards against a newcomer that learns only what fits in one message,
        # no bundle number, or no leaving target.
        node = build_fleet()[0]
        for number in range(20):
            node.states.observe(
                target_states.TargetState(
                    f"t{number}", 1, 1, target_states.ServingState.DRAINING
                )
            )
        newcomer = build_member("new")
        reply = asyncio.run(
            node.gossip.serve(
                peer_pb2.GossipMessage(
                    sender=codec.member_message(newcomer),
                    wants_full_state=True,
                )
            )
        )
        names = {member.instance_id for member in reply.members}
        assert names >= {f"i{n}" for n in range(COUNT)}
        assert len(reply.target_states) == 20
        assert reply.bundle_in_force == 1

    def test_numbers_of_the_sender_are_reported(self) -> None:
        # Guards against a rollout that is not learned from a peer.
        node = build_fleet()[0]
        message = peer_pb2.GossipMessage(
            sender=codec.member_message(build_member("i1")),
            bundle_in_force=3,
            rollout_number=4,
            rollout_epoch=5,
        )
        asyncio.run(node.gossip.serve(message))
        assert node.heard == [("i1", members_lib.BundleNumbers(3, 4, 5))]


class TestBundleNumbers:
    """A number that rises is passed on at once."""

    def test_news_reaches_most_without_probes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against a bundle number that waits for the next probes, and
        # against instances that do not pass it on.
        monkeypatch.setattr(swim_lib, "PERIOD_S", 1e6)
        asyncio.run(asyncio.wait_for(self._spread(), HANG_S))

    async def _spread(self) -> None:
        nodes = build_fleet()
        runs = [asyncio.create_task(node.gossip.run()) for node in nodes]
        # The first tick sends a probe and the news of the start.
        await asyncio.sleep(1.0)
        nodes[0].numbers = members_lib.BundleNumbers(2)
        while sum(n.numbers.in_force == 2 for n in nodes) <= COUNT // 2:
            await asyncio.sleep(0.01)
        for run in runs:
            run.cancel()
