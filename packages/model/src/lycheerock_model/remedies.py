"""How faults of documents are mended."""

# Suffixes of keys and what their numbers count.
_UNITS = {
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "_ratio": "a share from 0 to 1",
    "_count": "a whole number",
    "_limit": "a whole number",
}


def for_type(path: str) -> str:
    """Returns how to mend a value of the wrong type, from its key."""
    counted = unit(path)
    if counted:
        return f"write a number without a unit; it counts {counted}"
    return "correct the value"


def unit(key: str) -> str:
    """Returns what the number of a key counts, or an empty text."""
    for suffix, counted in _UNITS.items():
        if key.endswith(suffix):
            return counted
    return ""
