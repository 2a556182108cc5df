"""Workspaces of one configuration version, found by their keys."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
import secrets

import structlog

_LOG = structlog.get_logger()

# Secret of this process under which keys are stored. With it, the time that a
# lookup takes depends on nothing that a caller can choose or observe.
_LOOKUP_SECRET = secrets.token_bytes(32)

# Length of the digests by which logs and dumps name a key. It tells the keys of
# a deployment apart and is too short to confirm a guessed key.
_SHORT_DIGEST_LENGTH = 8


@dataclasses.dataclass(frozen=True)
class Workspace:
    """A workspace, without its keys.

    Attributes:
      name: Name that targets receive.
      priority: Rank of its requests, 0 is the highest; None leaves the rank to
        the route.
      rate_per_s: Requests per second that may run, over all instances; 0 sets
        no cap.
      burst_count: Requests that may run on top of the rate.
      allowed_regions: Regions whose targets may get its requests; empty if all
        may.
      key_digests: Short digests of its keys, for logs and dumps.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst_count: float = 0.0
    allowed_regions: frozenset[str] = frozenset()
    key_digests: tuple[str, ...] = ()

    @property
    def has_cap(self) -> bool:
        """Whether its requests are capped."""
        return self.rate_per_s > 0.0


@dataclasses.dataclass(frozen=True)
class Directory:
    """The workspaces of one configuration version.

    Attributes:
      by_name: The workspaces by name. If there are none, no request needs a
        key.
    """

    by_name: Mapping[str, Workspace] = dataclasses.field(default_factory=dict)
    _by_lookup_digest: Mapping[bytes, Workspace] = dataclasses.field(
        default_factory=dict, repr=False
    )

    @property
    def is_empty(self) -> bool:
        """Whether the configuration has no workspaces."""
        return not self.by_name

    def find(self, key: bytes) -> Workspace | None:
        """Returns the workspace to which a key belongs, or None."""
        return self._by_lookup_digest.get(_lookup_digest(key))


def build(
    entries: Iterable[tuple[Workspace, Iterable[str]]], version: int
) -> Directory:
    """Builds the directory of one configuration version.

    A key that is listed for two workspaces is refused for both, since nothing
    tells which of them a caller is. Of two workspaces with the same name, the
    first one counts, since a cap and a rank cannot both apply.

    Args:
      entries: The workspaces with their keys.
      version: Version of the configuration, for the log.
    """
    by_name: dict[str, Workspace] = {}
    found: dict[bytes, Workspace] = {}
    ambiguous: set[bytes] = set()
    for entry, keys in entries:
        if entry.name in by_name:
            _LOG.error(
                "workspace_listed_twice",
                workspace=entry.name,
                configuration=version,
            )
            continue
        encoded = [data for key in keys if (data := _encode(key))]
        workspace = dataclasses.replace(
            entry, key_digests=tuple(short_digest(key) for key in encoded)
        )
        by_name[workspace.name] = workspace
        for key in encoded:
            digest = _lookup_digest(key)
            known = found.setdefault(digest, workspace)
            if known is not workspace:
                ambiguous.add(digest)
                _LOG.error(
                    "key_listed_twice",
                    key=short_digest(key),
                    workspaces=[known.name, workspace.name],
                    configuration=version,
                )
    for digest in ambiguous:
        del found[digest]
    return Directory(by_name, found)


def short_digest(key: bytes) -> str:
    """Returns the digest by which logs and dumps name a key.

    Operators obtain it from a key with `printf %s KEY | sha256sum | cut -c1-8`.

    Args:
      key: The key.
    """
    return hashlib.sha256(key).hexdigest()[:_SHORT_DIGEST_LENGTH]


def _lookup_digest(key: bytes) -> bytes:
    return hashlib.blake2b(key, digest_size=32, key=_LOOKUP_SECRET).digest()


def _encode(key: str) -> bytes:
    """Returns the bytes that a caller sends, or none if it cannot send them.

    A header value has no blanks at its ends and no control characters, so such
    a key could only be matched by accident.

    Args:
      key: Key from the configuration.
    """
    if key != key.strip() or any(c < " " or c == "\x7f" for c in key):
        return b""
    try:
        return key.encode()
    except UnicodeEncodeError:
        return b""


def intersect_regions(
    first: frozenset[str], second: frozenset[str]
) -> frozenset[str] | None:
    """Returns the regions that two restrictions allow together.

    Args:
      first: Allowed regions; empty if all are.
      second: Allowed regions; empty if all are.

    Returns:
      The regions, empty if all are allowed; None if no region is.
    """
    if not first or not second:
        return first or second
    return (first & second) or None
