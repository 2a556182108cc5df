"""Tests of the gossip task with fake channels."""

import asyncio
import random
import time
from typing import Any

import pytest

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import build
from lycheerock._internal.membership import codec
from lycheerock._internal.membership import directory as directory_lib
from lycheerock._internal.membership import gossip as gossip_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import seeds as seeds_lib
from lycheerock._internal.membership import swim as swim_lib
from lycheerock._internal.membership import swim_types
from lycheerock._internal.membership import target_updates
from lycheerock_protocol import peer_pb2

NODE_COUNT = 20
# Fails a test that would hang otherwise.
TEST_TIMEOUT_S = 60.0


class FakeChannels:
    """Passes each call directly to the gossip task with that address."""

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
    """An instance whose gossip task adopts any higher bundle number."""

    def __init__(self, instance_id: str, channels: FakeChannels, seed: int):
        rng = random.Random(f"{seed}/{instance_id}")
        local_member = build_member(instance_id)
        self.states = target_states.TargetStates()
        self.swim = swim_lib.Swim(local_member, rng, time.monotonic())
        directory = directory_lib.Directory(local_member)
        self.numbers = members_lib.BundleNumbers(1)
        self.received: list[tuple[str, members_lib.BundleNumbers]] = []
        self.gossip = gossip_lib.Gossip(
            build.Membership(
                self.swim,
                directory,
                seeds_lib.Seeds(directory, {}, rng),
                target_updates.TargetUpdates(
                    self.states, self.swim.schedule_dissemination
                ),
            ),
            channels,
            lambda: self.numbers,
            self._on_peer_bundle,
        )
        channels.nodes[instance_id] = self

    def _on_peer_bundle(
        self, member: members_lib.Member, numbers: members_lib.BundleNumbers
    ) -> None:
        self.received.append((member.instance_id, numbers))
        if numbers.in_force > self.numbers.in_force:
            self.numbers = numbers


def build_cluster() -> list[Node]:
    channels = FakeChannels()
    nodes = [Node(f"i{n}", channels, 1) for n in range(NODE_COUNT)]
    for node in nodes:
        for other in nodes:
            if other is not node:
                node.swim.handle(
                    swim_types.MessageReceived(other.swim.local_member),
                    time.monotonic(),
                )
    return nodes


class TestServe:
    """Incoming messages are processed and answered."""

    def test_joining_instance_gets_the_full_state(self) -> None:
        # Guards against a reply to a joining instance that lacks some members,
        # the bundle number or some of the draining targets.
        node = build_cluster()[0]
        for number in range(20):
            node.states.observe(
                target_states.TargetState(
                    f"t{number}", 1, 1, target_states.ServingState.DRAINING
                )
            )
        joining_member = build_member("new")
        reply = asyncio.run(
            node.gossip.serve(
                peer_pb2.GossipMessage(
                    sender=codec.encode_member(joining_member),
                    wants_full_state=True,
                )
            )
        )
        names = {member.instance_id for member in reply.members}
        assert names >= {f"i{n}" for n in range(NODE_COUNT)}
        assert len(reply.target_states) == 20
        assert reply.bundle_in_force == 1

    def test_bundle_numbers_of_the_sender_are_reported(self) -> None:
        # Guards against ignoring the bundle and rollout numbers of a peer.
        node = build_cluster()[0]
        message = peer_pb2.GossipMessage(
            sender=codec.encode_member(build_member("i1")),
            bundle_in_force=3,
            rollout_number=4,
            rollout_epoch=5,
        )
        asyncio.run(node.gossip.serve(message))
        assert node.received == [("i1", members_lib.BundleNumbers(3, 4, 5))]


class TestBundleNumbers:
    """A higher bundle number is disseminated without delay."""

    def test_update_reaches_most_members_without_probes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against sending a new bundle number only with the next probe,
        # and against instances that do not forward it to others.
        monkeypatch.setattr(swim_lib, "PROBE_PERIOD_S", 1e6)
        asyncio.run(asyncio.wait_for(self._disseminate(), TEST_TIMEOUT_S))

    async def _disseminate(self) -> None:
        nodes = build_cluster()
        tasks = [asyncio.create_task(node.gossip.run()) for node in nodes]
        # The first tick probes a member and sends the initial entries. Waiting
        # keeps these messages from carrying the new number.
        await asyncio.sleep(1.0)
        nodes[0].numbers = members_lib.BundleNumbers(2)
        while sum(n.numbers.in_force == 2 for n in nodes) <= NODE_COUNT // 2:
            await asyncio.sleep(0.01)
        for task in tasks:
            task.cancel()
