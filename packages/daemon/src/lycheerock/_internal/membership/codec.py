"""Member entries and target reports as protocol messages."""

from collections.abc import Iterable
from collections.abc import Iterator

from lycheerock._internal.dispatch import target_states
from lycheerock._internal.membership import members
from lycheerock_protocol import peer_pb2

# A number near the end of the range could not be raised any more.
NUMBER_MAX = 2**62


def member_message(member: members.Member) -> peer_pb2.Member:
    """Returns a member entry as a protocol message."""
    return peer_pb2.Member(
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        state=member.state,
        peer_address=member.peer_address,
        region=member.region,
        zone=member.zone,
        refutation=member.refutation,
    )


def read_member(message: peer_pb2.Member) -> members.Member | None:
    """Reads a member entry.

    Args:
      message: The message.

    Returns:
      The entry, or None if a value is out of range or of a later version.
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


def read_members(
    messages: Iterable[peer_pb2.Member],
) -> Iterator[members.Member]:
    """Reads member entries and passes over those that are not valid."""
    for message in messages:
        member = read_member(message)
        if member is not None:
            yield member


def target_message(
    report: target_states.TargetState,
) -> peer_pb2.TargetState:
    """Returns a report on a target as a protocol message."""
    return peer_pb2.TargetState(
        target_id=report.target_id,
        epoch=report.epoch,
        sequence=report.sequence,
        state=report.state,
    )


def read_targets(
    messages: Iterable[peer_pb2.TargetState],
) -> Iterator[target_states.TargetState]:
    """Reads reports and passes over those that are not valid."""
    for message in messages:
        try:
            state = target_states.ServingState(message.state)
        except ValueError:
            continue
        yield target_states.TargetState(
            message.target_id, message.epoch, message.sequence, state
        )
