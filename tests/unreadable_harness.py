"""Test data: entries of the store that cannot be read, and what reads them."""

import json
from typing import Any

from lycheerock._internal.discovery import targets as targets_lib
from lycheerock._internal.platform import client as client_lib
from lycheerock._internal.platform import store_wire
from lycheerock._internal.platform import target_entries
from lycheerock._internal.platform import unreadable as unreadable_lib
from lycheerock._internal.targets import registry as registry_lib
from lycheerock._internal.targets import selection
from lycheerock._internal.upstream import pool as pool_lib
from lycheerock._internal.upstream import receive_budget

DEPTH = 5_000

# JSON text of contents that cannot be decoded, or that name no target.
UNREADABLE_SPECS = {
    "escaped lone surrogates": rb'"\udcff\udc80\udcfe"',
    "lone surrogate in a key": rb'{"\ud800": 1}',
    "bytes that are not UTF-8": b'{"service": "\xff\x80\xfe"}',
    "truncated UTF-8": b'"\xe2\x82"',
    "number out of range": b'{"slots": 1e999}',
    "negative number out of range": b"[-1e999]",
    "integer of thousands of digits": b"9" * 5_000,
    "nested arrays": b"[" * DEPTH + b"]" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested 200 levels": b"[" * 200 + b"]" * 200,
    "megabytes": b'"' + b"x" * 2 * 1_048_576 + b'"',
    "brackets in strings": rb'"[[{{\"\\\ud800"',
    "not a number": b"NaN",
    "text": b'"text"',
    "null": b"null",
    "array": b"[1, 2]",
    "fields of other types": b'{"service": 1, "address": [], "slots": "4"}',
    "entry without two of its fields": (
        b'{"service": "desk", "address": "127.0.0.1:7999", "zone": "z1", '
        b'"slots": 4, "state": "ready", "warmup_left_ms": 0, "born": 1}'
    ),
    "complete entry with a number of 401 digits": (
        b'{"service": "desk", "address": "127.0.0.1:7999", "zone": "z1", '
        b'"version": "v1", "slots": 1%s, "state": "ready", '
        b'"warmup_left_ms": 0, "seq": 1, "born": 1}' % (b"0" * 400)
    ),
}

# Those that are JSON, and are only found to name no target.
READABLE_JSON = (
    "text",
    "null",
    "array",
    "fields of other types",
    "entry without two of its fields",
    "complete entry with a number of 401 digits",
)


def good_spec(number: int) -> bytes:
    return json.dumps(
        {
            "service": "desk",
            "address": f"127.0.0.1:{7_000 + number}",
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "version": "v1",
            "warmup_left_ms": 0,
            "seq": 1,
            "born": 1,
            "note": 'quotes " and \\ and [brackets]} é',
        }
    ).encode()


def item(name: str, spec: bytes, revision: int = 5) -> bytes:
    meta = json.dumps({"name": name, "revision": revision}).encode()
    return b'{"spec":' + spec + b', "meta": ' + meta + b', "status": null}'


def page(items: list[bytes], *, more: bool = False) -> bytes:
    end = b'], "more": true' if more else b'], "more": false'
    return b'{"items": [' + b", ".join(items) + end + b', "at_rev": 9}'


def events(items: list[bytes]) -> bytes:
    inner = b", ".join(
        b'{"object": ' + i + b', "removed": false}' for i in items
    )
    return b'{"at_rev": 9, "events": [' + inner + b"]}"


def decode_page(body: bytes) -> store_wire.Page:
    return store_wire.decode_page(body, target_entries.ENTRY_SIZE_MAX_BYTES)


def decode_events(body: bytes) -> store_wire.Page:
    return store_wire.decode_events(body, target_entries.ENTRY_SIZE_MAX_BYTES)


class Targets:
    """A registry that a follower fills, without a store."""

    def __init__(self) -> None:
        self.unreadable = unreadable_lib.UnreadableEntries()
        self.registry = registry_lib.Registry(
            lambda _zone: selection.Distance.SAME_ZONE,
            lambda host, port: pool_lib.Pool(
                host, port, "id", receive_budget.ReceiveBudget()
            ),
            {},
        )
        self.synchronizer = targets_lib.TargetSynchronizer(
            self.registry, lambda _delay_s, _call: None, self.unreadable
        )

    def list(self, values: dict[str, Any]) -> None:
        self.synchronizer.on_listing(client_lib.Listing(values, 9), False)

    def change(self, name: str, value: Any) -> None:
        change = client_lib.Change(name, 9, value, False)
        self.synchronizer.on_changes(client_lib.Changes((change,), 9))


def values_of(read: store_wire.Page) -> dict[str, Any]:
    return {
        e.name: e.value
        for e in read.entries
        if e.name is not None and e.revision is not None
    }
