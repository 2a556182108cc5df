"""Builds the views of the process that operators read."""

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
    """The member table."""

    @property
    def local_member(self) -> members_lib.Member:
        """The member of this process."""
        ...

    def peers(self) -> tuple[members_lib.Member, ...]:
        """Returns all other members."""
        ...


# Enough to see that a token has changed, too little to test guesses of it.
DIGEST_SHOWN_LENGTH = 8

TargetViews = Mapping[str, Mapping[str, Any]]


class BundleView:
    """The bundle in force and the place of each of its targets."""

    def __init__(self) -> None:
        self._bundle: bundle_lib.Bundle | None = None
        self._places: dict[str, tuple[str, bundle_lib.Target]] = {}

    def apply(self, bundle: bundle_lib.Bundle) -> None:
        """Takes a bundle that has come into force."""
        self._bundle = bundle
        self._places = {
            target.target_id: (service.name, target)
            for service in bundle.services
            for target in service.targets
        }

    def document(self) -> dict[str, Any]:
        """Returns the bundle as a JSON value with shortened token digests.

        Raises:
          NotFoundError: There is no bundle yet.
        """
        if self._bundle is None:
            raise exceptions.NotFoundError(
                "this instance has no bundle yet",
                "propose, sign and roll out a first bundle",
            )
        document: dict[str, Any] = msgspec.to_builtins(self._bundle)
        for caller in document["callers"]:
            caller["token_sha256"] = caller["token_sha256"][
                :DIGEST_SHOWN_LENGTH
            ]
        return document

    def has_target(self, target_id: str) -> bool:
        """Tells whether the bundle in force has the target."""
        return target_id in self._places

    def places(self) -> Mapping[str, tuple[str, bundle_lib.Target]]:
        """Returns service and target by target id."""
        return self._places


def members(directory: Directory) -> dict[str, Any]:
    """Returns all members, the own one first."""
    known = (directory.local_member, *directory.peers())
    return {
        "instance_id": directory.local_member.instance_id,
        "members": [dataclasses.asdict(member) for member in known],
    }


def targets(
    bundle: BundleView,
    dispatch: TargetViews,
    states: target_states_lib.TargetStates,
) -> dict[str, Any]:
    """Returns all targets of the bundle in force.

    Args:
      bundle: The targets of the bundle in force.
      dispatch: What dispatch knows of each target, such as its owners.
      states: The newest report on each target.

    Returns:
      A JSON value.
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
                **_state(reports.get(target_id)),
                **dispatch.get(target_id, {}),
            }
            for target_id, (service, target) in sorted(bundle.places().items())
        ]
    }


def _state(report: target_states_lib.TargetState | None) -> dict[str, Any]:
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
    ("in_flight", "Requests of this instance that a target is serving."),
    ("connections", "Connections of this instance to a target."),
    ("waiting", "Requests that wait for a slot of a target."),
)


def families(
    platform_calls: Mapping[str, int], dispatch: TargetViews
) -> Iterable[exposition.Family]:
    """Returns the metrics of the platform calls and of the targets.

    Args:
      platform_calls: Calls of the platform's object API by kind.
      dispatch: What dispatch knows of each target.

    Returns:
      Metric families.
    """
    yield exposition.counter_family(
        "lycheerock_platform_calls_total",
        "Calls of the platform's object API by kind.",
        "kind",
        platform_calls,
    )
    for key, text in _TARGET_GAUGES:
        samples = tuple(
            ({"target": target_id}, view[key])
            for target_id, view in sorted(dispatch.items())
            if key in view
        )
        yield exposition.Family(
            f"lycheerock_target_{key}", "gauge", text, samples
        )
