"""Order in which instances are tried as publishers of a feed."""

from collections.abc import Iterable
import hashlib


def _sort_key(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()


def predecessors(own_address: str, addresses: Iterable[str]) -> tuple[str, ...]:
    """Returns the instances to which this one may subscribe, in order.

    All instances use the same order, and those that can reach the store
    subscribe only to predecessors. Therefore their feeds form no cycle, and the
    first running instance watches the store, without any coordination.

    Args:
      own_address: Address of this instance.
      addresses: Addresses of all instances.
    """
    own = _sort_key(own_address)
    return tuple(
        sorted((a for a in addresses if _sort_key(a) < own), key=_sort_key)
    )


def others(own_address: str, addresses: Iterable[str]) -> tuple[str, ...]:
    """Returns all instances except this one, in the same order.

    An instance that has lost the store may subscribe to any of them, because
    only instances that can reach the store serve feeds.

    Args:
      own_address: Address of this instance.
      addresses: Addresses of all instances.
    """
    return tuple(
        sorted((a for a in addresses if a != own_address), key=_sort_key)
    )
