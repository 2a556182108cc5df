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
