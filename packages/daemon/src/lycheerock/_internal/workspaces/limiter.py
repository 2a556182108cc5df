"""Runs the caps of workspaces: messages, waiting requests and figures."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import secrets
import time
from typing import Any
from typing import Protocol

import msgspec
import structlog

from lycheerock._internal.routing import table
from lycheerock._internal.workspaces import bounds
from lycheerock._internal.workspaces import caps as caps_lib
from lycheerock._internal.workspaces import holdings
from lycheerock_protocol import caps

_LOG = structlog.get_logger()

# Longest wait of a request for the reply of an owner: two round trips between
# regions, 24 ms each, and well below the shortest objective.
WAIT_MAX_S = 0.06

# Time after the start of a process in which it opens links to all instances, to
# find out whether they have restarted as well, and number of instances up to
# which it does.
START_S = 3.0
START_LINKS_MAX = 64

# Instances whose processes started at most this much earlier have restarted
# together with this one.
TOGETHER_MS = 2_000

# Interval of the checks for due messages and changed links.
TICK_S = 0.1

# Interval of the log lines on the refusals of one workspace.
LOG_INTERVAL_S = 10.0

# Number of workspaces that are shown one by one; the others are summed.
SHOWN_MAX = 10

# The clock counts the time for which the machine is suspended, and is not set
# by anybody.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

_MESH_KEY = "caps"


class Mesh(Protocol):
    """Links to other instances; see `links/mesh.py`."""

    is_leaving: bool

    @property
    def own_address(self) -> str:
        """Feed address of this instance."""

    def send(self, address: str, kind: str, message: msgspec.Struct) -> bool:
        """Queues a message; returns False if it will not be sent."""

    def on(
        self,
        kind: str,
        message_type: type,
        handler: Callable[[str, Any], None],
    ) -> None:
        """Registers the handler of a kind of message."""

    def keep(self, key: str, addresses: Iterable[str]) -> None:
        """Keeps links open to some instances."""

    def has_link(self, address: str) -> bool:
        """Whether there is a link to an instance, even if it is stopping."""

    def members(self) -> Mapping[str, Any]:
        """Returns the registered live instances by feed address."""


class OverCapError(Exception):
    """The request must be refused.

    Attributes:
      reason: Reason for the log and the response.
      retry_after_s: Time after which the caller should retry.
    """

    def __init__(self, reason: str, retry_after_s: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


def now_s() -> float:
    """Returns the time that counts for tokens and leases."""
    return time.clock_gettime(_CLOCK)


class Limiter:
    """Admits the requests of workspaces within their caps."""

    def __init__(
        self,
        mesh: Mesh,
        bound: bounds.Bound,
        renewed_age_s: Callable[[], float],
        clock: Callable[[], float] = now_s,
    ) -> None:
        """Initializes the limiter of a process that has just started.

        Args:
          mesh: Links to the other instances.
          bound: The platform's tolerance.
          renewed_age_s: Returns the age of the own registered entry.
          clock: Returns the current time, see `now_s`.
        """
        self._mesh = mesh
        self._bound = bound
        self._renewed_age_s = renewed_age_s
        self._clock = clock
        self._caps = caps_lib.Caps(
            mesh.own_address,
            secrets.randbits(48) + 1,
            mesh.send,
            clock(),
        )
        self._waiting: dict[
            str, collections.deque[asyncio.Future[holdings.Token | None]]
        ] = {}
        self._wakeup = asyncio.Event()
        self._workspaces: Mapping[str, Any] = {}
        self._logged_s: dict[str, float] = {}
        self._owners: tuple[str | None, ...] = ()
        self._start_until_s = clock() + START_S
        self._started_ms = time.time_ns() // 1_000_000
        mesh.on(caps.ASK, caps.Ask, self._on_ask)
        mesh.on(caps.REPLY, caps.Reply, self._on_reply)

    def apply(self, routes: table.RouteTable) -> None:
        """Applies the caps of a configuration version."""
        self._workspaces = routes.workspaces.by_name
        self._caps.set_limits(
            {
                name: bounds.limits_for(
                    workspace.rate_per_s, workspace.burst_count, self._bound
                )
                for name, workspace in self._workspaces.items()
                if workspace.has_cap
            },
            self._clock(),
        )
        for name in self._waiting:
            self._serve(name)
        self._wakeup.set()

    async def acquire(self, workspace: str) -> holdings.Token | None:
        """Waits until a request may run.

        Args:
          workspace: Name of the request's workspace.

        Returns:
          The token for `give_back`, or None if the workspace has no cap.

        Raises:
          OverCapError: The request must be refused.
        """
        if not self._caps.has_cap(workspace):
            return None
        start_s = self._clock()
        self._caps.holding(workspace).demand.record(start_s)
        if not self._waiting.get(workspace):
            token = self._caps.take(workspace, start_s)
            if token is not None:
                if self._caps.has_urgent:
                    self._caps.tick(start_s)
                return token
        is_below_cap = self._caps.is_below_cap(workspace, start_s)
        if not self._caps.wait(workspace, start_s, is_below_cap=is_below_cap):
            raise self._refuse(workspace, "over_cap")
        return await self._wait(
            workspace,
            caps_lib.CHANGE_WAIT_MAX_S if is_below_cap else WAIT_MAX_S,
        )

    async def _wait(
        self, workspace: str, limit_s: float
    ) -> holdings.Token | None:
        future: asyncio.Future[holdings.Token | None] = (
            asyncio.get_running_loop().create_future()
        )
        queue = self._waiting.setdefault(workspace, collections.deque())
        queue.append(future)
        try:
            self._caps.tick(self._clock())
            self._serve(workspace)
            async with asyncio.timeout(limit_s):
                token: holdings.Token | None = await future
        except TimeoutError:
            if not self._caps.has_cap(workspace):
                # The cap was removed while the request waited.
                return None
            raise self._refuse(workspace, "cap_unknown") from None
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.give_back(future.result())
            raise
        finally:
            if future in queue:
                queue.remove(future)
            self._caps.stop_waiting(workspace)
        if token is None and self._caps.has_cap(workspace):
            raise self._refuse(workspace, "over_cap")
        return token

    def give_back(self, token: holdings.Token | None) -> None:
        """Takes back the token of a request that has certainly not run."""
        if token is not None and self._caps.has_cap(token.workspace):
            holding = self._caps.holding(token.workspace)
            holding.give_back(token, self._clock())

    def _serve(self, workspace: str) -> None:
        """Passes tokens to waiting requests, or refuses them."""
        queue = self._waiting.get(workspace, ())
        current_s = self._clock()
        while queue:
            if queue[0].done():
                queue.popleft()
                continue
            token = None
            if self._caps.has_cap(workspace):
                token = self._caps.take(workspace, current_s)
                holding = self._caps.holding(workspace)
                if token is None and (
                    current_s >= holding.refused_until_s
                    or self._caps.is_below_cap(workspace, current_s)
                ):
                    return
            queue.popleft().set_result(token)

    def _refuse(self, workspace: str, reason: str) -> OverCapError:
        current_s = self._clock()
        holding = self._caps.holding(workspace)
        holding.refused_counts[reason] = (
            holding.refused_counts.get(reason, 0) + 1
        )
        logged_s = self._logged_s.get(workspace, float("-inf"))
        if current_s - logged_s >= LOG_INTERVAL_S:
            self._logged_s[workspace] = current_s
            _LOG.info("workspace_refused", **self._describe(workspace))
        retry_after_s = self._caps.retry_after_s(workspace, current_s)
        return OverCapError(reason, retry_after_s)

    def _on_ask(self, sender: str, ask: caps.Ask) -> None:
        self._caps.on_ask(sender, ask, self._clock())

    def _on_reply(self, sender: str, reply: caps.Reply) -> None:
        self._caps.on_reply(sender, reply, self._clock())
        for offer in reply.offers:
            self._serve(offer.workspace)
        if self._caps.has_urgent:
            self._caps.tick(self._clock())

    async def run(self) -> None:
        """Sends the messages that are due until cancelled."""
        while True:
            if not self._caps.is_enforcing:
                self._mesh.keep(_MESH_KEY, ())
                self._wakeup.clear()
                await self._wakeup.wait()
            self._update_view()
            self._caps.tick(self._clock())
            for name, queue in self._waiting.items():
                if queue:
                    self._serve(name)
            self._log_owners()
            await asyncio.sleep(TICK_S)

    def _update_view(self) -> None:
        mesh, current_s = self._mesh, self._clock()
        members = frozenset(mesh.members())
        if mesh.is_leaving:
            members -= {mesh.own_address}
        known = members | self._caps.owners()
        self._caps.set_view(
            caps_lib.View(
                mesh.own_address,
                members,
                len(members),
                frozenset(a for a in known if mesh.has_link(a)),
                current_s - self._renewed_age_s(),
            ),
            current_s,
        )
        kept = self._caps.candidates()
        if (
            self._caps.is_enforcing
            and current_s < self._start_until_s
            and len(members) <= START_LINKS_MAX
        ):
            kept |= members - {mesh.own_address}
            if self._have_all_restarted():
                self._start_until_s = current_s
                self._caps.end_start_wait(current_s)
                _LOG.info("caps_start_wait_ended", members=len(members))
        mesh.keep(_MESH_KEY, kept)

    def _have_all_restarted(self) -> bool:
        """Returns whether no process can still count the previous one of this.

        That is so after a loss of power: all registered instances are reached,
        and their processes are about as young as this one.
        """
        mesh = self._mesh
        members = mesh.members()
        since_ms = self._started_ms - TOGETHER_MS
        return mesh.own_address in members and all(
            address == mesh.own_address
            or (mesh.has_link(address) and member.incarnation >= since_ms)
            for address, member in members.items()
        )

    def _log_owners(self) -> None:
        owners = self._caps.owner_by_group()
        if owners == self._owners:
            return
        self._owners = owners
        _LOG.info(
            "caps_owners",
            owners=owners,
            members=self._caps.member_count(self._clock()),
        )

    def _describe(self, workspace: str) -> dict[str, Any]:
        current_s = self._clock()
        holding = self._caps.holding(workspace)
        known = self._workspaces[workspace]
        age_s = current_s - holding.used_known_s
        return {
            "workspace": workspace,
            "keys": known.key_digests,
            "used_per_s": holding.used_per_s,
            "cap_per_s": known.rate_per_s,
            "burst": known.burst_count,
            "figures_age_s": round(age_s, 1) if age_s < 1e6 else None,
            "admitted": holding.admitted_count,
            "refused": dict(holding.refused_counts),
            "waiting": holding.waiting_count,
            "tokens": holding.held(current_s),
            "owner": self._caps.owner_by_group()[bounds.group_of(workspace)],
        }

    def _by_use(self) -> list[str]:
        """Returns the workspaces with a cap and demand here, by their use."""
        found = self._caps.all_holdings()
        return sorted(found, key=lambda name: (-found[name].used_per_s, name))

    def dump(self) -> dict[str, Any]:
        """Returns the state as JSON-compatible values."""
        current_s = self._clock()
        names = self._by_use()
        return {
            "count": len(self._workspaces),
            "is_enforcing": self._caps.is_enforcing,
            "members": self._caps.member_count(current_s),
            "groups": self._caps.describe_groups(current_s),
            "workspaces": [self._describe(n) for n in names[:SHOWN_MAX]],
            "not_shown": max(0, len(names) - SHOWN_MAX),
        }

    def counts(self) -> dict[tuple[str, str], int]:
        """Returns the number of requests by workspace and result.

        The workspaces that are not shown one by one are summed as "other".
        """
        found = self._caps.all_holdings()
        shown = set(self._by_use()[:SHOWN_MAX])
        counts: collections.Counter[tuple[str, str]] = collections.Counter()
        for name, holding in found.items():
            label = name if name in shown else "other"
            counts[(label, "admitted")] += holding.admitted_count
            for reason, count in holding.refused_counts.items():
                counts[(label, reason)] += count
        return dict(counts)
