"""The platform's names, formats and calls.

Nothing here decides anything: names of the wire are decoded once into the
project's own types, and calls return what the platform answered.
"""
