"""Splits JSON text into its items without decoding them.

A decoder rejects a document as a whole if it cannot represent one value in it:
a lone surrogate, bytes that are not UTF-8, a number out of range or deep
nesting. The functions here look only at strings and brackets, so that each item
can be decoded by itself. They use no recursion.
"""

import re

import msgspec

# Possessive quantifiers keep the expressions linear: no part is read again
# after a failed match.
_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_PLAIN = rb'[^"\[\]{}]++|' + _STRING
# Levels of nested containers that one match skips, which saves steps of the
# interpreter: a megabyte of small containers would take half a second.
_SKIPPED_LEVELS = 4


def _container_pattern(level_count: int) -> bytes:
    """Returns a pattern of containers nested up to the given level."""
    if level_count == 0:
        return _PLAIN
    inner = _container_pattern(level_count - 1)
    return _PLAIN + rb"|[\[{](?:" + inner + rb")*+[\]}]"


_START = re.compile(rb"\s*+([\[{])")
_END = re.compile(rb"\s*+\Z")
_KEY = re.compile(rb"\s*+(" + _STRING + rb")\s*+:", re.DOTALL)
# The next comma or bracket at the level of the members.
_MEMBER_END = re.compile(
    rb'(?:[^"\[\]{},]++|' + _STRING + rb")*+([,\[\]{}])", re.DOTALL
)
# The next run of brackets of one direction within a member.
_BRACKETS = re.compile(
    rb"(?:" + _container_pattern(_SKIPPED_LEVELS) + rb")*+([\[{]++|[\]}]++)",
    re.DOTALL,
)


# Maximum number of levels within an entry. Entries of the store have a few;
# the interpreter cannot compare, print or encode a value of a thousand levels.
LEVELS_MAX = 32

# Levels of the documents in which entries are sent.
_ENVELOPE_LEVELS = 4

_SHALLOW = re.compile(
    rb"(?:" + _container_pattern(LEVELS_MAX + _ENVELOPE_LEVELS) + rb")*+\Z",
    re.DOTALL,
)


class MalformedError(msgspec.DecodeError):
    """The text cannot be split: its strings or brackets do not match."""


def split_array(text: bytes) -> list[bytes]:
    """Returns the text of each item of an array.

    Args:
      text: JSON text of the array.

    Raises:
      MalformedError: The text is not an array.
    """
    return _split(text, b"[", b"]")


def split_object(text: bytes) -> list[tuple[bytes, bytes]]:
    """Returns the text of the key and of the value of each member.

    Args:
      text: JSON text of the object.

    Raises:
      MalformedError: The text is not an object.
    """
    members = []
    for member in _split(text, b"{", b"}"):
        key = _KEY.match(member)
        if key is None:
            raise MalformedError("a member has no key")
        members.append((key[1], member[key.end() :].strip()))
    return members


def is_shallow(text: bytes) -> bool:
    """Returns whether no value is nested more than about LEVELS_MAX levels.

    Args:
      text: JSON text of an entry or of a document with entries.
    """
    if text.count(b"[") + text.count(b"{") <= LEVELS_MAX:
        return True
    return _SHALLOW.match(text) is not None


def _split(text: bytes, opening: bytes, closing: bytes) -> list[bytes]:
    start = _START.match(text)
    if start is None or start[1] != opening:
        raise MalformedError("the text does not start with the bracket")
    members: list[bytes] = []
    member_start = position = start.end()
    while True:
        found = _MEMBER_END.match(text, position)
        if found is None:
            raise MalformedError("the text ends within a member")
        position = found.end()
        token = found[1]
        if token in (b"[", b"{"):
            position = _end_of_container(text, position)
            continue
        members.append(text[member_start : found.start(1)].strip())
        member_start = position
        if token != b",":
            break
    if token != closing or _END.match(text, position) is None:
        raise MalformedError("the brackets do not match")
    if members == [b""]:
        return []
    return members


def _end_of_container(text: bytes, position: int) -> int:
    """Returns the position after a container, given that after its start."""
    depth = 1
    while depth:
        found = _BRACKETS.match(text, position)
        if found is None:
            raise MalformedError("the text ends within a container")
        run = found[1]
        position = found.end()
        if run[:1] in b"[{":
            depth += len(run)
        elif len(run) < depth:
            depth -= len(run)
        else:
            position -= len(run) - depth
            depth = 0
    return position
