"""Settings of all tests: hypothesis runs without time limits or a database."""

import hypothesis

hypothesis.settings.register_profile(
    "lycheerock", deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("lycheerock")
