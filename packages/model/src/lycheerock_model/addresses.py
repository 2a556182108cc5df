"""Parsing of numeric IP addresses with a port."""

from collections.abc import Iterator
from collections.abc import Mapping
import ipaddress

from lycheerock_model import exceptions

PORT_MAX = 65_535

# IP address and port of a server. Each server needs its own.
Endpoint = tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, int]


def parse(text: str) -> Endpoint | None:
    """Parses an address such as `127.0.0.1:9000` or `[::1]:9000`.

    Args:
      text: The address.

    Returns:
      IP address and port, or None if the text is not a valid address.
    """
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return None
    if (ip.version == 6) != is_bracketed:
        return None
    # Leading zeros are rejected, so that equal ports look the same.
    if not (port.isascii() and port.isdecimal() and port[0] != "0"):
        return None
    if len(port) > 5 or int(port) > PORT_MAX:
        return None
    return ip, int(port)


def find_duplicates(values: Mapping[str, object]) -> Iterator[exceptions.Fault]:
    """Finds addresses that are used more than once.

    Args:
      values: Address by path in the document; invalid ones are skipped.

    Yields:
      One fault per repeated use, which states the path of the first use.
    """
    first_paths: dict[Endpoint, str] = {}
    for path, text in values.items():
        endpoint = parse(text) if isinstance(text, str) else None
        if endpoint is None:
            continue
        first_path = first_paths.setdefault(endpoint, path)
        if first_path != path:
            yield exceptions.Fault(
                path,
                f"{text} is also the value of {first_path}",
                "give each server its own address",
            )
