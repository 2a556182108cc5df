"""The order in which instances are asked for a feed."""

from collections.abc import Iterable
import hashlib


def _key(address: str) -> bytes:
    return hashlib.blake2b(address.encode(), digest_size=8).digest()


def before(own_address: str, addresses: Iterable[str]) -> tuple[str, ...]:
    """Returns the instances that this one may ask, in order.

    All instances use the same order and ask only those before them. So feeds
    form no cycle, and the first instance that lives watches the store, without
    any agreement.

    Args:
      own_address: Address of this instance.
      addresses: Addresses of all instances.
    """
    own = _key(own_address)
    return tuple(sorted((a for a in addresses if _key(a) < own), key=_key))


def others(own_address: str, addresses: Iterable[str]) -> tuple[str, ...]:
    """Returns all instances but this one, in the same order.

    An instance that has lost the store may ask any of them, since only one that
    reads the store gives a feed.

    Args:
      own_address: Address of this instance.
      addresses: Addresses of all instances.
    """
    return tuple(sorted((a for a in addresses if a != own_address), key=_key))
