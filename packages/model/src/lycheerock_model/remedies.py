"""Remedies suggested for invalid values in documents."""

# Unit or type of the values of a key, by suffix of the key.
_VALUE_FORMS = {
    "_ms": "in milliseconds",
    "_s": "in seconds",
    "_bytes": "in bytes",
    "_ratio": "a fraction from 0 to 1",
    "_count": "an integer",
    "_limit": "an integer",
}


def for_type(path: str) -> str:
    """Returns the remedy for a value of the wrong type, based on its key."""
    form = value_form(path)
    if form:
        return f"write a number without a unit; the value is {form}"
    return "correct the value"


def value_form(key: str) -> str:
    """Returns what values of a key are, based on its suffix.

    Args:
      key: The key, or a path that ends with it.

    Returns:
      A phrase such as "in seconds", or an empty string for another suffix.
    """
    for suffix, form in _VALUE_FORMS.items():
        if key.endswith(suffix):
            return form
    return ""
