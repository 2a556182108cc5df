"""Seed addresses for joining the cluster and for healing partitions."""

import random

from lycheerock._internal.membership import directory as directory_lib

MISSING_SEEDS_PER_ROUND = 2
JOIN_PERIOD_S = 0.5
CONTACT_PERIOD_S = 5.0


class Seeds:
    """Seed addresses from the settings and from the platform's list."""

    def __init__(
        self,
        directory: directory_lib.Directory,
        configured: dict[str, str],
        rng: random.Random,
    ):
        self._directory = directory
        self._configured = configured
        self._listed: dict[str, str] = {}
        self._random = rng

    def set_listed(self, addresses: dict[str, str]) -> None:
        """Replaces the addresses from the platform's list, by instance id."""
        self._listed = addresses

    def choose_addresses(self) -> list[str]:
        """Returns the addresses to contact in this round.

        Until a majority of the configured peers is reached, these include all
        unreached ones. Each round also includes a few random instances that
        are not known to be running: after a partition that outlasted the
        retention of dead members, the two sides rejoin only through seeds.
        """
        unreached = self._directory.unreached
        chosen: list[str] = []
        if not self._directory.reached_majority():
            chosen = [self._configured[name] for name in sorted(unreached)]
        missing = [
            address
            for name, address in sorted(
                (self._listed | self._configured).items()
            )
            if self._is_missing(name) and address not in chosen
        ]
        count = min(MISSING_SEEDS_PER_ROUND, len(missing))
        return chosen + self._random.sample(missing, count)

    def period_s(self) -> float:
        """Returns the time until the next round."""
        joined = self._directory.reached_majority() and any(
            peer.is_running for peer in self._directory.peers()
        )
        # Short rounds at startup find peers that start at the same time; later
        # rounds only heal partitions.
        period_s = CONTACT_PERIOD_S if joined else JOIN_PERIOD_S
        return period_s * self._random.uniform(0.5, 1.5)

    def _is_missing(self, instance_id: str) -> bool:
        member = self._directory.find(instance_id)
        return member is None or not member.is_running
