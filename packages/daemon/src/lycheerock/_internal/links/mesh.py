"""Links between this instance and others, for messages of all parts."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
import functools
import time
from typing import Any

import aiohttp
import aiohttp.web
import msgspec
import structlog

from lycheerock._internal.links import dialing
from lycheerock._internal.links import handlers
from lycheerock._internal.links import handshake
from lycheerock._internal.links import link as link_lib
from lycheerock._internal.links import liveness
from lycheerock._internal.links import members as members_lib
from lycheerock._internal.links import roster as roster_lib
from lycheerock_protocol import links

_LOG = structlog.get_logger()

# Interval of the checks of all links.
CHECK_INTERVAL_S = 0.25

# Maximum number of links. 200 accepted ones took 3.7 MB, so that 256 take less
# than a twentieth of the memory of the smallest machine.
LINKS_MAX = 256

# Time without messages after which a link that no part keeps is closed.
UNUSED_LIMIT_S = 30.0


class Mesh:
    """Opens links, sends messages and passes received ones to handlers.

    Delivery is best effort. Messages of one sender arrive in order, and none is
    sent again. All methods must be called in the event loop.

    Attributes:
      counts: Number of messages by event, for metrics.
    """

    def __init__(
        self,
        own_address: str,
        incarnation: int,
        region_by_zone: Mapping[str, str],
    ) -> None:
        self._own_address = own_address
        self._incarnation = incarnation
        self._roster = roster_lib.Roster(region_by_zone)
        self.counts: collections.Counter[str] = collections.Counter()
        self._handlers = handlers.Handlers(self.counts)
        self._lost_handlers: list[Callable[[str], None]] = []
        self._members_handlers: list[Callable[[], None]] = []
        self._hello_delays_s: dict[str, float] = {}
        self._links: dict[str, list[link_lib.Link]] = {}
        self._plan = dialing.DialPlan()
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._wakeup = asyncio.Event()
        self._session: aiohttp.ClientSession | None = None
        self.is_leaving = False
        self.on(links.GOODBYE, links.Goodbye, self._on_goodbye)

    # Interface for the other parts

    @property
    def own_address(self) -> str:
        """Feed address of this instance."""
        return self._own_address

    def send(self, address: str, kind: str, message: msgspec.Struct) -> bool:
        """Queues a message; returns False if it will certainly not be sent.

        No link is opened for it; see `keep`.

        Args:
          address: Feed address of the receiver.
          kind: Kind of the message, which selects the handler.
          message: The message.
        """
        found = self._links.get(address)
        if not found:
            self.counts["not_connected"] += 1
            return False
        try:
            data = links.encode(kind, message)
        except (UnicodeEncodeError, TypeError) as error:
            # For example text of a caller that is not valid UTF-8.
            self.counts["not_encodable"] += 1
            _LOG.warning("link_not_encodable", kind=kind, error=str(error))
            return False
        # All messages use the oldest link, so that they stay in order.
        if not found[0].put(data):
            self.counts["queue_full"] += 1
            return False
        self.counts["sent"] += 1
        return True

    def on(
        self, kind: str, message_type: type, handler: handlers.Handler
    ) -> None:
        """Registers the handler of a kind of message.

        Args:
          kind: Kind of the messages.
          message_type: Type of the messages.
          handler: Called with the sender's feed address and the message. It
            must not block.
        """
        self._handlers.set(kind, message_type, handler)

    def keep(self, key: str, addresses: Iterable[str]) -> None:
        """Keeps links open to some instances.

        Args:
          key: Names the part that asks; it replaces its own earlier set only.
          addresses: Feed addresses. The own address is ignored.
        """
        others = {a for a in addresses if a != self.own_address}
        if self._plan.keep(key, others):
            self._wakeup.set()

    def is_up(self, address: str) -> bool:
        """Whether there is a link to an instance that is not stopping."""
        return bool(self._links.get(address)) and not self._is_leaving(address)

    def has_link(self, address: str) -> bool:
        """Whether there is a link to an instance, even if it is stopping."""
        return bool(self._links.get(address))

    def members(self) -> Mapping[str, members_lib.Member]:
        """Returns the registered live instances by feed address.

        An instance that has said goodbye is left out. This instance is
        contained once the store lists it. The mapping is never modified.
        """
        return self._roster.members

    def hello_delay_s(self, address: str) -> float | None:
        """Returns the own clock less the peer's at its last hello message.

        It includes the delay of that message, which is a few milliseconds
        unless one of the processes was stalled.
        """
        return self._hello_delays_s.get(address)

    def on_members_changed(self, handler: Callable[[], None]) -> None:
        """Calls a handler after each change of the members."""
        self._members_handlers.append(handler)

    def on_lost(self, handler: Callable[[str], None]) -> None:
        """Calls a handler with each address to which the last link is lost.

        It is also called if the instance has restarted.
        """
        self._lost_handlers.append(handler)

    # Interface for the process

    def set_entries(self, values: Mapping[str, Any]) -> None:
        """Sets the registered instances.

        Args:
          values: Content of the entries that have not expired, by instance id.
        """
        if self._roster.set_entries(values, time.monotonic()):
            self._notify("members", self._members_handlers)

    def routes(self) -> list[aiohttp.web.RouteDef]:
        """Returns the HTTP routes that accept links."""
        return [aiohttp.web.get(links.PATH, self._accept)]

    async def run(self) -> None:
        """Opens and checks links until cancelled."""
        while True:
            while not self._links and not self._plan.kept:
                await self._wakeup.wait()
                self._wakeup.clear()
            start_s = time.monotonic()
            self._dial(start_s)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._wakeup.wait()
            self._wakeup.clear()
            now_s = time.monotonic()
            self._check_links(now_s, now_s - start_s - CHECK_INTERVAL_S)

    def leave(self) -> None:
        """Announces that this instance stops; running work may complete."""
        if self.is_leaving:
            return
        self.is_leaving = True
        _LOG.info("links_leaving", links=self.link_count)
        for address in list(self._links):
            self.send(address, links.GOODBYE, links.Goodbye())

    async def close(self) -> None:
        """Closes all links."""
        self.is_leaving = True
        for found in list(self._links.values()):
            for link in list(found):
                link.close("this instance has stopped")
        dials = list(self._dials.values())
        for dial in dials:
            dial.cancel()
        await asyncio.gather(*dials, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    @property
    def link_count(self) -> int:
        """Number of open links."""
        return sum(len(found) for found in self._links.values())

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values."""
        now_s = time.monotonic()
        return {
            "members": len(self._roster.members),
            "links": {
                address: {
                    "age_s": round(now_s - found[0].opened_s, 1),
                    "unused_s": round(now_s - found[0].liveness.used_s, 1),
                    "is_outgoing": found[0].is_outgoing,
                    "is_leaving": self._is_leaving(address),
                    "connections": len(found),
                }
                for address, found in self._links.items()
            },
            "messages": dict(self.counts),
        }

    # Opening links

    def _dial(self, now_s: float) -> None:
        if self.is_leaving:
            return
        connected = self._links.keys() | self._dials.keys()
        for address in self._plan.due(connected, now_s):
            dial = asyncio.create_task(self._connect(address))
            self._dials[address] = dial
            dial.add_done_callback(
                functools.partial(self._forget_dial, address)
            )

    def _forget_dial(self, address: str, _dial: asyncio.Task[None]) -> None:
        del self._dials[address]

    async def _connect(self, address: str) -> None:
        start_s = time.monotonic()
        if self._session is None:
            self._session = handshake.new_session()
        try:
            socket = await handshake.connect(self._session, address)
        except handshake.ERRORS as error:
            self.counts["dial_failed"] += 1
            now_s = time.monotonic()
            _LOG.info(
                "link_not_opened",
                peer=address,
                reason=f"{type(error).__name__}: {error}",
                elapsed_ms=round((now_s - start_s) * 1000),
            )
            self._plan.record_end(address, 0.0, now_s)
            return
        await self._greet(socket, address)

    async def _accept(
        self, request: aiohttp.web.Request
    ) -> aiohttp.web.StreamResponse:
        if self.is_leaving or self.link_count >= LINKS_MAX:
            return aiohttp.web.Response(status=503, text="link unavailable\n")
        socket = await handshake.accept(request)
        await self._greet(socket, None)
        return socket

    async def _greet(
        self, socket: link_lib.Socket, dialed_address: str | None
    ) -> None:
        """Exchanges hello messages and then serves the link until its end."""
        try:
            peer, received_s = await handshake.exchange_hello(
                socket, self._own_address, self._incarnation
            )
            if dialed_address not in (None, peer.address):
                raise link_lib.LinkError(f"the peer is {peer.address}")
        except handshake.ERRORS as error:
            self.counts["hello_failed"] += 1
            _LOG.info(
                "link_rejected",
                peer=dialed_address or "unknown",
                reason=f"{type(error).__name__}: {error}",
            )
            if dialed_address is not None:
                self._plan.record_end(dialed_address, 0.0, time.monotonic())
            await socket.close()
            return
        self._hello_delays_s[peer.address] = received_s - peer.clock_ms / 1000
        is_outgoing = dialed_address is not None
        await self._run(link_lib.Link(socket, peer, is_outgoing=is_outgoing))

    async def _run(self, link: link_lib.Link) -> None:
        address = link.peer.address
        self._add(link)
        reason = "cancelled"
        try:
            reason = await link.run(
                lambda frame: self._handlers.dispatch(address, frame)
            )
        finally:
            now_s = time.monotonic()
            if reason in ("oversized", "malformed"):
                self.counts[reason] += 1
            _LOG.info(
                "link_closed",
                peer=address,
                reason=reason,
                lasted_ms=round((now_s - link.opened_s) * 1000),
            )
            self._plan.record_end(address, now_s - link.opened_s, now_s)
            self._remove(link)
            self._wakeup.set()

    def _add(self, link: link_lib.Link) -> None:
        address, incarnation = link.peer.address, link.peer.incarnation
        _LOG.info(
            "link_opened",
            peer=address,
            incarnation=incarnation,
            is_outgoing=link.is_outgoing,
        )
        if self._roster.record_hello(address, incarnation):
            # The links of the previous process may not have failed yet.
            for old in self._links.pop(address, []):
                old.close("the peer has restarted")
            self._notify("lost", self._lost_handlers, address)
        self._update_members()
        self._links.setdefault(address, []).append(link)
        self._wakeup.set()

    def _remove(self, link: link_lib.Link) -> None:
        address = link.peer.address
        found = self._links.get(address, [])
        if link not in found:
            return
        found.remove(link)
        if not found:
            del self._links[address]
            self._notify("lost", self._lost_handlers, address)

    # Members

    def _on_goodbye(self, address: str, _message: links.Goodbye) -> None:
        _LOG.info("link_peer_leaving", peer=address)
        if self._roster.record_goodbye(address, time.monotonic()):
            self._notify("members", self._members_handlers)

    def _is_leaving(self, address: str) -> bool:
        return self._roster.is_leaving(address, time.monotonic())

    # Checks

    def _check_links(self, now_s: float, stalled_s: float) -> None:
        for found in list(self._links.values()):
            for link in list(found):
                if stalled_s > CHECK_INTERVAL_S:
                    link.liveness.postpone(stalled_s)
                self._check(link, now_s)
        self._update_members()

    def _check(self, link: link_lib.Link, now_s: float) -> None:
        action = link.liveness.next_action(now_s)
        is_kept = link.peer.address in self._plan.kept
        if action == liveness.Action.CLOSE:
            self.counts["silent"] += 1
            link.close("silent")
        elif (
            link.is_outgoing
            and not is_kept
            and now_s - link.liveness.used_s >= UNUSED_LIMIT_S
        ):
            link.close("unused")
        elif action == liveness.Action.PING:
            link.ping()

    def _update_members(self) -> None:
        if self._roster.update(time.monotonic()):
            self._notify("members", self._members_handlers)

    def _notify(
        self, event: str, handlers: list[Callable[..., None]], *args: str
    ) -> None:
        for handler in handlers:
            try:
                handler(*args)
            except Exception:
                self._handlers.report_error(event, "".join(args))
