"""Configures hypothesis to run without deadlines or an example database."""

import hypothesis

hypothesis.settings.register_profile(
    "lycheerock", deadline=None, database=None, print_blob=True
)
hypothesis.settings.load_profile("lycheerock")
