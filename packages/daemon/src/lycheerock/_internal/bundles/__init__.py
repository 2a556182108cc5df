"""Distribution and activation of settings bundles on this instance."""
