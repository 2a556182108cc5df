"""Gossip task: drives the membership state machine and sends its messages."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import time

import grpc
import structlog

from lycheerock._internal.membership import build
from lycheerock._internal.membership import codec
from lycheerock._internal.membership import counters as counters_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.membership import swim_types
from lycheerock._internal.peers import channels as channels_lib
from lycheerock_protocol import peer_pb2
from lycheerock_protocol import peer_pb2_grpc

_LOG = structlog.get_logger()

TICK_S = 0.1
# Several times the longest round trip between regions (24 ms), to tolerate a
# busy instance.
DIRECT_TIMEOUT_S = 0.25
# Includes the direct probe that the relay makes before it replies.
INDIRECT_TIMEOUT_S = 0.5
# The reply contains the entries of all members.
FULL_STATE_TIMEOUT_S = 2.0

LocalBundle = Callable[[], members_lib.BundleNumbers]
OnPeerBundle = Callable[[members_lib.Member, members_lib.BundleNumbers], None]


class Gossip:
    """Sends and answers Gossip calls.

    `local_bundle` returns the bundle numbers to include in each message, and
    `on_peer_bundle` is called with the bundle numbers of each message from a
    peer. When the local numbers change, a tick sends them to a few members,
    each of which does the same when its own numbers change.
    """

    def __init__(
        self,
        membership: build.Membership,
        channels: channels_lib.Channels,
        local_bundle: LocalBundle,
        on_peer_bundle: OnPeerBundle,
    ):
        self.counters = counters_lib.GossipCounters()
        self._swim = membership.swim
        self._directory = membership.directory
        self._channels = channels
        self._target_updates = membership.target_updates
        self._seeds = membership.seeds
        self._local_bundle = local_bundle
        self._on_peer_bundle = on_peer_bundle
        self._last_bundle_numbers = members_lib.BundleNumbers()
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Probes members and contacts seeds until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._run_ticks())
                group.create_task(self._run_seed_contacts())
        finally:
            for call in self._calls:
                call.cancel()

    async def _run_ticks(self) -> None:
        while True:
            numbers = self._local_bundle()
            if numbers != self._last_bundle_numbers:
                self._last_bundle_numbers = numbers
                self._swim.schedule_dissemination()
            self._handle(swim_types.Tick())
            await asyncio.sleep(TICK_S)

    async def _run_seed_contacts(self) -> None:
        while True:
            for address in self._seeds.choose_addresses():
                self._start_call(self._pull_full_state(address))
            await asyncio.sleep(self._seeds.period_s())

    def _handle(self, event: swim_types.Event) -> None:
        for action in self._swim.handle(event, time.monotonic()):
            self._perform(action)

    def _perform(self, action: swim_types.Action) -> None:
        match action:
            case swim_types.DirectProbe(probe_id, member):
                self._start_call(self._probe_directly(probe_id, member))
            case swim_types.IndirectProbe(probe_id, relay, member):
                self._start_call(
                    self._probe_indirectly(probe_id, relay, member)
                )
            case swim_types.PullFullState(member):
                self._start_call(self._pull_full_state(member.peer_address))
            case swim_types.Disseminate(receivers):
                for receiver in receivers:
                    self._start_call(self._send_updates(receiver))
            case swim_types.MemberChanged(member):
                _LOG.info(
                    "member_changed",
                    member=member.instance_id,
                    incarnation=member.incarnation,
                    state=member.state,
                )
                self._directory.put(member)
            case swim_types.LocalMemberChanged(member):
                _LOG.info(
                    "own_entry_changed",
                    incarnation=member.incarnation,
                    refutation=member.refutation,
                    state=member.state,
                )
                self._directory.put(member)
            case swim_types.MemberRemoved(instance_id):
                self._directory.remove(instance_id)

    def _start_call(self, call: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    async def _probe_directly(
        self, probe_id: int, member: members_lib.Member
    ) -> None:
        succeeded = await self._ping(member)
        self._handle(swim_types.DirectProbeEnded(probe_id, succeeded))

    async def _ping(self, member: members_lib.Member) -> bool:
        reply = await self._call(
            member.peer_address,
            self._build_message(member.instance_id),
            DIRECT_TIMEOUT_S,
        )
        # The address may have been reassigned to another instance.
        return (
            reply is not None and reply.sender.instance_id == member.instance_id
        )

    async def _probe_indirectly(
        self,
        probe_id: int,
        relay: members_lib.Member,
        member: members_lib.Member,
    ) -> None:
        message = self._build_message(relay.instance_id)
        message.probe_instance_id = member.instance_id
        reply = await self._call(
            relay.peer_address, message, INDIRECT_TIMEOUT_S
        )
        succeeded = reply is not None and reply.probe_succeeded
        self._handle(swim_types.IndirectProbeEnded(probe_id, succeeded))

    async def _pull_full_state(self, address: str) -> None:
        message = self._build_message("")
        message.wants_full_state = True
        await self._call(address, message, FULL_STATE_TIMEOUT_S)

    async def _send_updates(self, receiver: members_lib.Member) -> None:
        await self._call(
            receiver.peer_address,
            self._build_message(receiver.instance_id),
            DIRECT_TIMEOUT_S,
        )

    async def _call(
        self, address: str, message: peer_pb2.GossipMessage, timeout_s: float
    ) -> peer_pb2.GossipMessage | None:
        stub = peer_pb2_grpc.PeerStub(self._channels.get(address))
        self.counters.add_sent(message)
        try:
            reply: peer_pb2.GossipMessage = await stub.Gossip(
                message, timeout=timeout_s
            )
        except grpc.aio.AioRpcError:
            self.counters.failed_calls += 1
            return None
        self._receive(reply)
        return reply

    async def announce_leaving(self) -> None:
        """Notifies all running members that this instance is leaving."""
        self._handle(swim_types.LeaveStarted())
        await self._broadcast()

    async def announce_left(self) -> None:
        """Notifies all running members that this instance has left."""
        self._handle(swim_types.LeaveCompleted())
        await self._broadcast()

    async def _broadcast(self) -> None:
        # Regular gossip might be too slow: this process soon stops answering.
        running = [m for m in self._directory.peers() if m.is_running]
        await asyncio.gather(
            *(self._send_updates(member) for member in running)
        )

    async def serve(
        self, message: peer_pb2.GossipMessage
    ) -> peer_pb2.GossipMessage:
        """Answers a Gossip call.

        Args:
          message: The request, which may ask for a probe of a third member or
            for the full state.

        Returns:
          The reply.
        """
        self._receive(message)
        probe_succeeded = False
        if message.probe_instance_id:
            member = self._directory.find(message.probe_instance_id)
            probe_succeeded = member is not None and await self._ping(member)
        reply = self._build_message(message.sender.instance_id)
        reply.probe_succeeded = probe_succeeded
        if message.wants_full_state:
            self._fill_full_state(reply)
        self.counters.add_sent(reply)
        return reply

    def _receive(self, message: peer_pb2.GossipMessage) -> None:
        self.counters.add_received(message)
        sender = codec.decode_member(message.sender)
        if sender is None:
            return
        self._directory.mark_reached(sender.instance_id)
        members = tuple(codec.decode_members(message.members))
        self._handle(swim_types.MessageReceived(sender, members))
        self._target_updates.merge(
            codec.decode_target_states(message.target_states)
        )
        numbers = members_lib.BundleNumbers(
            message.bundle_in_force,
            message.rollout_number,
            message.rollout_epoch,
        )
        if sender.instance_id != self._directory.local_member.instance_id:
            self._on_peer_bundle(sender, numbers)

    def _build_message(self, receiver_id: str) -> peer_pb2.GossipMessage:
        numbers = self._local_bundle()
        count = len(self._directory.peers())
        return peer_pb2.GossipMessage(
            sender=codec.encode_member(self._swim.local_member),
            members=map(codec.encode_member, self._swim.piggyback(receiver_id)),
            target_states=map(
                codec.encode_target_state, self._target_updates.take(count)
            ),
            bundle_in_force=numbers.in_force,
            rollout_number=numbers.rollout_number,
            rollout_epoch=numbers.rollout_epoch,
        )

    def _fill_full_state(self, reply: peer_pb2.GossipMessage) -> None:
        del reply.members[:]
        del reply.target_states[:]
        reply.members.extend(map(codec.encode_member, self._swim.full_state()))
        reply.target_states.extend(
            map(codec.encode_target_state, self._target_updates.all())
        )
