"""Converts member entries and target reports to and from messages."""

from collections.abc import Iterable
from collections.abc import Iterator

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import members
from lycheerock_protocol import peer_pb2

# Incarnation and refutation numbers from here on are rejected: a number near
# the limit of uint64 could not be incremented any more.
NUMBER_MAX = 2**62


def encode_member(member: members.Member) -> peer_pb2.Member:
    """Encodes a member entry as a protocol message."""
    return peer_pb2.Member(
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        state=member.state,
        peer_address=member.peer_address,
        region=member.region,
        zone=member.zone,
        refutation=member.refutation,
    )


def decode_member(message: peer_pb2.Member) -> members.Member | None:
    """Decodes a member entry.

    Args:
      message: The message to decode.

    Returns:
      The entry, or None if a number is out of range, the id or address is
      missing, or the state is unknown, for instance from a newer version.
    """
    in_range = 0 < message.incarnation < NUMBER_MAX
    if not in_range or message.refutation >= NUMBER_MAX:
        return None
    if not message.instance_id or not message.peer_address:
        return None
    try:
        state = members.MemberState(message.state)
    except ValueError:
        return None
    return members.Member(
        message.instance_id,
        message.incarnation,
        state,
        message.peer_address,
        message.region,
        message.zone,
        message.refutation,
    )


def decode_members(
    messages: Iterable[peer_pb2.Member],
) -> Iterator[members.Member]:
    """Decodes member entries and skips invalid ones."""
    for message in messages:
        member = decode_member(message)
        if member is not None:
            yield member


def encode_target_state(
    report: target_states.TargetState,
) -> peer_pb2.TargetState:
    """Encodes a target report as a protocol message."""
    return peer_pb2.TargetState(
        target_id=report.target_id,
        epoch=report.epoch,
        sequence=report.sequence,
        state=report.state,
    )


def decode_target_states(
    messages: Iterable[peer_pb2.TargetState],
) -> Iterator[target_states.TargetState]:
    """Decodes target reports and skips those with an unknown state."""
    for message in messages:
        try:
            state = target_states.ServingState(message.state)
        except ValueError:
            continue
        yield target_states.TargetState(
            message.target_id, message.epoch, message.sequence, state
        )
