"""Builds the state and the metrics that are shown to operators."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any
from typing import Protocol

import msgspec

from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.membership import members as members_lib
from lycheerock._internal.operator import drains
from lycheerock._internal.operator import exposition
from lycheerock_model import bundle as bundle_lib
from lycheerock_model import exceptions


class Directory(Protocol):
    """Table of the members of the cluster."""

    @property
    def local_member(self) -> members_lib.Member:
        """Entry of this instance."""
        ...

    def peers(self) -> tuple[members_lib.Member, ...]:
        """Returns all other members."""
        ...


# Long enough to show that a token has changed, but too short to verify a
# guessed token.
DIGEST_SHOWN_LENGTH = 8

# State of each target in the dispatcher, by target id.
TargetStateViews = Mapping[str, Mapping[str, Any]]


class BundleView:
    """The bundle in force and an index of its targets."""

    def __init__(self) -> None:
        self._bundle: bundle_lib.Bundle | None = None
        self._targets_by_id: dict[str, tuple[str, bundle_lib.Target]] = {}

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Replaces the bundle by the one that came into force."""
        self._bundle = bundle
        self._targets_by_id = {
            target.target_id: (service.name, target)
            for service in bundle.services
            for target in service.targets
        }

    def document(self) -> dict[str, Any]:
        """Returns the bundle as a JSON-compatible value.

        The digests of caller tokens are truncated.

        Raises:
          NotFoundError: No bundle is in force yet.
        """
        if self._bundle is None:
            raise exceptions.NotFoundError(
                "this instance has no bundle in force yet",
                "propose, sign and roll out a bundle",
            )
        document: dict[str, Any] = msgspec.to_builtins(self._bundle)
        for caller in document["callers"]:
            caller["token_sha256"] = caller["token_sha256"][
                :DIGEST_SHOWN_LENGTH
            ]
        return document

    def has_target(self, target_id: str) -> bool:
        """Returns whether the bundle in force has the target."""
        return target_id in self._targets_by_id

    def targets_by_id(self) -> Mapping[str, tuple[str, bundle_lib.Target]]:
        """Returns the service name and the target by target id."""
        return self._targets_by_id


def members(directory: Directory) -> dict[str, Any]:
    """Returns all members, this instance first."""
    known = (directory.local_member, *directory.peers())
    return {
        "instance_id": directory.local_member.instance_id,
        "members": [dataclasses.asdict(member) for member in known],
    }


def targets(
    bundle: BundleView,
    dispatch: TargetStateViews,
    states: target_states_lib.TargetStates,
) -> dict[str, Any]:
    """Returns all targets of the bundle in force.

    Args:
      bundle: Index of the targets in the bundle in force.
      dispatch: State of each target in the dispatcher, such as its owners.
      states: Newest state report on each target.

    Returns:
      A JSON-compatible value.
    """
    reports = {report.target_id: report for report in states.reports()}
    return {
        "targets": [
            {
                "target_id": target_id,
                "service": service,
                "address": target.address,
                "region": target.region,
                "zone": target.zone,
                **_drain_state(reports.get(target_id)),
                **dispatch.get(target_id, {}),
            }
            for target_id, (service, target) in sorted(
                bundle.targets_by_id().items()
            )
        ]
    }


def _drain_state(
    report: target_states_lib.TargetState | None,
) -> dict[str, Any]:
    if report is None:
        return {"state": "no_report", "leaving": False, "marked_by": ""}
    leaving = report.state == target_states_lib.ServingState.DRAINING
    by_operator = report.sequence == drains.OPERATOR_SEQUENCE
    return {
        "state": report.state,
        "leaving": leaving,
        "marked_by": ("operator" if by_operator else "report"),
    }


_TARGET_GAUGES = (
    ("in_flight", "Requests in flight from this instance to a target."),
    (
        "connections",
        "Connections from this instance to a target, including those being "
        "opened or closed.",
    ),
    ("waiting", "Requests queued on this instance for a target."),
)


def families(
    platform_calls: Mapping[str, int], dispatch: TargetStateViews
) -> Iterable[exposition.Family]:
    """Yields the metrics of platform calls and of targets.

    Args:
      platform_calls: Calls to the platform's object API by kind.
      dispatch: State of each target in the dispatcher.

    Yields:
      Metric families.
    """
    yield exposition.counter_family(
        "lycheerock_platform_calls_total",
        "Calls to the platform's object API by kind.",
        "kind",
        platform_calls,
    )
    for key, help_text in _TARGET_GAUGES:
        samples = tuple(
            ({"target": target_id}, view[key])
            for target_id, view in sorted(dispatch.items())
            if key in view
        )
        yield exposition.Family(
            f"lycheerock_target_{key}", "gauge", help_text, samples
        )
