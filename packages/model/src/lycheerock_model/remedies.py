"""Remedies suggested for invalid values in documents."""

# Key suffixes and the unit or range of their values.
_UNITS = {
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "_ratio": "a share from 0 to 1",
    "_count": "a whole number",
    "_limit": "a whole number",
}


def for_type(path: str) -> str:
    """Returns the remedy for a value of the wrong type, based on its key."""
    counted = unit(path)
    if counted:
        return f"write a number without a unit; it counts {counted}"
    return "correct the value"


def unit(key: str) -> str:
    """Returns the unit implied by the suffix of a key, or an empty string."""
    for suffix, counted in _UNITS.items():
        if key.endswith(suffix):
            return counted
    return ""
