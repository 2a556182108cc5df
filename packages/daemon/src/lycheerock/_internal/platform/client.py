"""Client of the platform's object API.

The store holds objects by kind and name. Each change increments a revision
counter of the whole store; a watch returns the changes after a revision.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
from typing import Any

import aiohttp
import msgspec
from returns import result
import structlog

from lycheerock._internal.platform import store_wire
from lycheerock._internal.platform import unreadable as unreadable_lib
from lycheerock_model import exceptions

_LOG = structlog.get_logger()

CALL_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 1.0
# Maximum duration of a watch, after which the platform replies even if nothing
# has changed.
WATCH_TIMEOUT_S = 30.0
# Time allowed for the reply to a watch to arrive once its wait has ended.
WATCH_MARGIN_S = 0.7
# Maximum size of one reply. A page of a list is about a megabyte at most.
REPLY_SIZE_MAX_BYTES = 16 * 1_048_576
# Maximum size of one entry, which is also that of the store's own clients. A
# larger one counts as unreadable, so that it is neither kept nor passed on.
ENTRY_SIZE_MAX_BYTES = 1_048_576
_READ_CHUNK_BYTES = 65_536
# Kind of the objects that list the instances, one for each instance.
INSTANCE_KIND = "instances"


@dataclasses.dataclass(frozen=True)
class Object:
    """The value of an object and the revision of its last change."""

    version: int
    value: Any


@dataclasses.dataclass(frozen=True)
class Listing:
    """All objects of a kind.

    Attributes:
      values: Content by name.
      revision: Revision from which a watch can continue.
      era: Era of the store; None if it is unknown.
    """

    values: Mapping[str, Any]
    revision: int
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of one object.

    Attributes:
      name: Name of the object.
      version: Revision of the change.
      value: New content, or the last content of a removed object.
      is_removed: Whether the object was removed.
    """

    name: str
    version: int
    value: Any
    is_removed: bool


@dataclasses.dataclass(frozen=True)
class Changes:
    """The result of a watch.

    Attributes:
      changes: Changes in order; empty if there were none during the wait.
      revision: Revision from which the next watch continues.
      era: Era of the store; None if it is unknown.
    """

    changes: tuple[Change, ...]
    revision: int
    era: int | None = None


@dataclasses.dataclass(frozen=True)
class ListedInstance:
    """An instance as listed by the platform.

    The list lags behind the actual state.

    Attributes:
      instance_id: Id of the instance.
      state: "live" or "leaving".
      peer_address: Address of the instance's gRPC interface.
      region: Region of the instance.
      zone: Availability zone of the instance.
    """

    instance_id: str
    state: str
    peer_address: str
    region: str
    zone: str


@dataclasses.dataclass(frozen=True)
class InstanceListing:
    """The instances that the platform lists.

    Attributes:
      instances: Instances whose entries are readable.
      unreadable_names: Names of the other entries.
    """

    instances: tuple[ListedInstance, ...] = ()
    unreadable_names: tuple[str, ...] = ()


class StoredConflictError(exceptions.ConflictError):
    """A write failed because the object has changed.

    Attributes:
      stored: The object as currently stored.
    """

    def __init__(self, message: str, remedy: str, stored: Object) -> None:
        super().__init__(message, remedy)
        self.stored = stored


ReadResult = result.Result[Object | None, exceptions.PlatformError]
WriteResult = result.Result[
    Object, exceptions.ConflictError | exceptions.PlatformError
]


class PlatformClient:
    """Client of the object API that counts its calls by kind of call.

    Each call opens a connection of its own. Any idle connection may have gone
    silent, and waiting for it would add a timeout to that of the call before.

    Attributes:
      call_counts: Number of calls by kind of call.
      unreadable: Entries that could not be read.
      era: Latest era that any reply has stated; None if none has.
    """

    def __init__(self, address: str, instance_id: str = ""):
        self._base_url = f"http://{address}"
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            headers={"User-Agent": f"lycheerock/{instance_id}"},
            timeout=aiohttp.ClientTimeout(
                total=CALL_TIMEOUT_S, connect=CONNECT_TIMEOUT_S
            ),
        )
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.unreadable = unreadable_lib.UnreadableEntries()
        self.era: int | None = None
        self._era_problem = ""
        self._era_handlers: list[Callable[[int], None]] = []

    def on_era(self, handler: Callable[[int], None]) -> None:
        """Calls a handler with each era after the first that is known."""
        self._era_handlers.append(handler)

    def _read_era(self, response: aiohttp.ClientResponse) -> int | None:
        """Returns the era of a reply, or None if it states none.

        A malformed or missing header is logged once until it is readable again.
        The reply then counts as one of the era that is known.
        """
        try:
            era = store_wire.read_era(
                response.headers.get(store_wire.ERA_HEADER)
            )
            problem = (
                f"{store_wire.ERA_HEADER} is missing"
                if era is None and self.era is not None
                else ""
            )
        except ValueError as error:
            era, problem = None, str(error)
        if problem and not self._era_problem:
            _LOG.warning("store_era_unreadable", error=problem, era=self.era)
        self._era_problem = problem
        if era is not None:
            self.record_era(era)
        return era

    def record_era(self, era: int) -> None:
        """Records an era that a reply, or another instance, has stated."""
        if self.era is not None and era <= self.era:
            return
        previous, self.era = self.era, era
        if previous is not None:
            _LOG.warning("store_era_changed", era=era, previous=previous)
            for handler in self._era_handlers:
                handler(era)

    async def close(self) -> None:
        """Closes the connections."""
        await self._session.close()

    async def get(self, kind: str, name: str) -> ReadResult:
        """Reads an object.

        Args:
          kind: Kind of the object.
          name: Name within the kind.

        Returns:
          The object, None if it does not exist, or a PlatformError.
        """
        self.call_counts["get"] += 1
        return await self._read(kind, name)

    async def watch(
        self, kind: str, name: str, after_version: int
    ) -> ReadResult:
        """Waits for a version of an object newer than `after_version`.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          after_version: Newest version known to the caller; 0 for none.

        Returns:
          The object, unchanged if the wait ended without a change; None if it
          does not exist; or a PlatformError.
        """
        self.call_counts["watch"] += 1
        changes = await self.watch_kind(
            kind, after_version, WATCH_TIMEOUT_S - WATCH_MARGIN_S
        )
        if isinstance(changes, result.Success):
            for change in reversed(changes.unwrap().changes):
                if change.name == name and not change.is_removed:
                    return result.Success(Object(change.version, change.value))
        elif not isinstance(changes.failure(), exceptions.HistoryGoneError):
            return result.Failure(changes.failure())
        return await self._read(kind, name)

    async def _read(self, kind: str, name: str) -> ReadResult:
        url = f"{self._base_url}/objects/{kind}/{name}"
        try:
            async with self._session.get(url) as response:
                self._read_era(response)
                if response.status == 404:
                    return result.Success(None)
                response.raise_for_status()
                return result.Success(_decode(await _read_body(response)))
        except _CALL_ERRORS as error:
            return result.Failure(_unavailable(f"reading {kind}/{name}", error))

    async def list_objects(
        self,
        kind: str,
        *,
        may_be_stale: bool = False,
        entry_size_max_bytes: int = ENTRY_SIZE_MAX_BYTES,
    ) -> result.Result[Listing, exceptions.PlatformError]:
        """Reads all objects of a kind, page by page.

        The value of an object whose content is unreadable is None. An object
        whose name or revision is unreadable is left out.

        Args:
          kind: Kind of the objects.
          may_be_stale: Whether the listing may be a few seconds old, at a tenth
            of the cost. A watch from its revision brings it up to date.
          entry_size_max_bytes: Size above which an object counts as unreadable.

        Returns:
          The objects, or a PlatformError. Changes made while the pages are read
          are also returned by a watch from the listing's revision.
        """
        values: dict[str, Any] = {}
        revision = 0
        era: int | None = None
        after = ""
        while True:
            self.call_counts["stale_list" if may_be_stale else "list"] += 1
            read = await self._list_page(
                kind, after, may_be_stale, entry_size_max_bytes
            )
            if isinstance(read, result.Failure):
                return read
            page, page_era = read.unwrap()
            if era is not None and page_era not in (None, era):
                return result.Failure(_mixed_listing(kind))
            era = page_era if era is None else era
            revision = min(revision or page.revision, page.revision)
            for entry in page.entries:
                self._report(kind, entry)
                if entry.name is not None and entry.revision is not None:
                    values[entry.name] = entry.value
            if not page.has_more:
                return result.Success(Listing(values, revision, era))
            if page.next_after is None or page.next_after == after:
                return result.Failure(_incomplete_listing(kind, after))
            after = page.next_after

    def _report(self, kind: str, entry: store_wire.Entry) -> None:
        if entry.problem:
            self.unreadable.record(
                kind,
                entry.name or entry.digest,
                entry.revision,
                entry.problem,
                entry.detail,
            )

    async def _list_page(
        self,
        kind: str,
        after: str,
        may_be_stale: bool,
        entry_size_max_bytes: int,
    ) -> result.Result[
        tuple[store_wire.Page, int | None], exceptions.PlatformError
    ]:
        """Returns a page and the era of the store."""
        url = f"{self._base_url}/objects/{kind}"
        params = {"after": after} if after else {}
        if may_be_stale:
            params["allow_stale"] = "1"
        try:
            async with self._session.get(url, params=params) as response:
                era = self._read_era(response)
                response.raise_for_status()
                body = await _read_body(response)
                page = store_wire.decode_page(body, entry_size_max_bytes)
                return result.Success((page, era))
        except _CALL_ERRORS as error:
            return result.Failure(_unavailable(f"listing {kind}", error))

    async def watch_kind(
        self,
        kind: str,
        after_revision: int,
        wait_s: float,
        entry_size_max_bytes: int = ENTRY_SIZE_MAX_BYTES,
    ) -> result.Result[Changes, exceptions.PlatformError]:
        """Waits for changes of the objects of a kind.

        Args:
          kind: Kind of the objects.
          after_revision: Newest revision known to the caller.
          wait_s: Maximum time to wait for a change.
          entry_size_max_bytes: Size above which an object counts as unreadable.

        Returns:
          The changes, empty if there were none during the wait; a
          HistoryGoneError if the platform no longer has them; or another
          PlatformError.
        """
        url = f"{self._base_url}/objects/{kind}"
        params = {
            "watch": str(after_revision),
            "wait_ms": str(int(wait_s * 1000)),
        }
        timeout = aiohttp.ClientTimeout(
            total=wait_s + WATCH_MARGIN_S, connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self._session.get(
                url, params=params, timeout=timeout
            ) as response:
                era = self._read_era(response)
                if response.status == 410:
                    return result.Failure(_history_gone(kind, after_revision))
                response.raise_for_status()
                body = await _read_body(response)
                page = store_wire.decode_events(body, entry_size_max_bytes)
        except _CALL_ERRORS as error:
            return result.Failure(_unavailable(f"watching {kind}", error))
        return result.Success(self._to_changes(kind, page, era))

    def _to_changes(
        self, kind: str, page: store_wire.Page, era: int | None = None
    ) -> Changes:
        """Converts events to changes.

        The value of an object whose content is unreadable is None. An event
        whose object has no readable name is left out.
        """
        changes = []
        for entry in page.entries:
            self._report(kind, entry)
            if entry.name is not None:
                changes.append(
                    Change(
                        entry.name,
                        entry.revision or page.revision,
                        entry.value,
                        entry.is_removed,
                    )
                )
        return Changes(tuple(changes), page.revision, era)

    async def list_names(
        self, kind: str
    ) -> result.Result[tuple[str, ...], exceptions.PlatformError]:
        """Returns the names of all objects of a kind, or a PlatformError."""
        found = await self.list_objects(kind)
        return found.map(lambda listing: tuple(sorted(listing.values)))

    async def list_instances(
        self,
    ) -> result.Result[InstanceListing, exceptions.PlatformError]:
        """Returns the listed instances, or a PlatformError."""
        found = await self.list_objects(INSTANCE_KIND)
        return found.map(self._to_instances)

    def _to_instances(self, listing: Listing) -> InstanceListing:
        instances, unreadable_names = [], []
        for name, value in listing.values.items():
            try:
                instances.append(msgspec.convert(value, ListedInstance))
            except msgspec.ValidationError as error:
                unreadable_names.append(name)
                digest = unreadable_lib.content_digest(value)
                self.unreadable.record(
                    INSTANCE_KIND, name, digest, "fields", str(error)
                )
        return InstanceListing(tuple(instances), tuple(unreadable_names))

    async def create(
        self, kind: str, name: str, value: Mapping[str, Any]
    ) -> WriteResult:
        """Creates an object that must not exist yet; see `write`."""
        return await self.write(kind, name, value, 0)

    async def write(
        self, kind: str, name: str, value: Mapping[str, Any], if_version: int
    ) -> WriteResult:
        """Replaces an object atomically if its version is `if_version`.

        Args:
          kind: Kind of the object.
          name: Name within the kind.
          value: The new value.
          if_version: Version that the write replaces; 0 creates the object.

        Returns:
          The stored object; a StoredConflictError if the object has another
          version; an OutcomeUnknownError if the write may have taken effect or
          may do so later; or any other PlatformError if it had no effect.
        """
        self.call_counts["create" if if_version == 0 else "update"] += 1
        document = msgspec.json.encode(
            {
                "meta": {"name": name, "revision": if_version, "finalizers": []}
                if if_version
                else {"name": name},
                "spec": value,
            }
        )
        method, path = (
            ("PUT", f"{kind}/{name}") if if_version else ("POST", kind)
        )
        try:
            async with self._session.request(
                method,
                f"{self._base_url}/objects/{path}",
                data=document,
                headers=_JSON,
            ) as response:
                self._read_era(response)
                if response.status == 409:
                    stored = _decode(await _read_body(response))
                    return result.Failure(conflict_error(kind, name, stored))
                response.raise_for_status()
                return result.Success(_decode(await _read_body(response)))
        except aiohttp.ClientConnectorError as error:
            return result.Failure(_unavailable(f"writing {kind}/{name}", error))
        except _CALL_ERRORS as error:
            return result.Failure(
                exceptions.OutcomeUnknownError(
                    f"the reply to writing {kind}/{name} was lost "
                    f"({type(error).__name__})",
                    "read the object back before repeating the request",
                    retry_after_ms=1_000,
                )
            )


_JSON = {"Content-Type": "application/json"}

_CALL_ERRORS = (
    TimeoutError,
    aiohttp.ClientError,
    OSError,
    *store_wire.DECODE_ERRORS,
)


def conflict_error(kind: str, name: str, stored: Object) -> StoredConflictError:
    """Returns the error of a write whose object another writer has changed."""
    return StoredConflictError(
        f"another writer changed {kind}/{name} first "
        f"(version {stored.version})",
        "read the object again and repeat the change if it still applies",
        stored,
    )


def _unavailable(action: str, error: Exception) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f"{action} failed ({type(error).__name__})",
        "repeat the request when the platform is reachable again",
        retry_after_ms=1_000,
    )


def _incomplete_listing(kind: str, after: str) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f"cannot list {kind} after {after!r}: no object on the page has a name",
        "remove the unreadable objects from the platform",
    )


def _mixed_listing(kind: str) -> exceptions.PlatformError:
    return exceptions.PlatformError(
        f"the store returned from a copy while {kind} were listed",
        "list the objects again",
    )


def _history_gone(
    kind: str, after_revision: int
) -> exceptions.HistoryGoneError:
    return exceptions.HistoryGoneError(
        f"the platform no longer has the changes of {kind} after revision "
        f"{after_revision}",
        "list the objects and watch from the revision of the listing",
    )


async def _read_body(response: aiohttp.ClientResponse) -> bytes:
    """Reads a reply; raises ClientPayloadError if it exceeds the limit."""
    body = bytearray()
    async for part in response.content.iter_chunked(_READ_CHUNK_BYTES):
        body += part
        if len(body) > REPLY_SIZE_MAX_BYTES:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the reply exceeds {REPLY_SIZE_MAX_BYTES} bytes"
            )
    return bytes(body)


def _decode(body: bytes) -> Object:
    wire = msgspec.json.decode(body, type=store_wire.Object)
    return Object(wire.meta.revision, wire.spec)
