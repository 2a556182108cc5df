"""Connects the operator interface with the parts of the process."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import signal
import time
from typing import Any

import aiohttp.web

from lycheerock._internal.bundles import actions as bundle_actions_lib
from lycheerock._internal.dispatch import target_states as target_states_lib
from lycheerock._internal.lifecycle import logs
from lycheerock._internal.operator import action_routes
from lycheerock._internal.operator import bundle_routes
from lycheerock._internal.operator import health_routes
from lycheerock._internal.operator import metrics as metrics_lib
from lycheerock._internal.operator import metrics_routes
from lycheerock._internal.operator import server
from lycheerock._internal.operator import state_routes
from lycheerock._internal.operator import views
from lycheerock_model import settings as settings_lib


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts of the process that operators see or act on.

    Attributes:
      settings: Settings of the process.
      dump: State of the process as JSON values.
      is_ready: Whether the instance takes new requests.
      is_stopping: Whether a planned stop has begun.
      directory: The member table.
      bundle: The bundle in force.
      bundle_actions: Actions of operators on bundles.
      dispatch_state: What dispatch knows of each target.
      target_states: The newest report on each target.
      records: Records of recent requests.
      metrics: Metrics of caller requests.
      platform_calls: Calls of the platform by kind.
    """

    settings: settings_lib.Settings
    dump: Callable[[], Mapping[str, Any]]
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    directory: views.Directory
    bundle: views.BundleView
    bundle_actions: bundle_actions_lib.Actions
    dispatch_state: Callable[[], views.TargetStateViews]
    target_states: target_states_lib.TargetStates
    records: state_routes.Records
    metrics: metrics_lib.RequestMetrics
    platform_calls: Mapping[str, int]


def build(parts: Parts) -> aiohttp.web.Application:
    """Builds the application of the operator address.

    Args:
      parts: The parts of the process.

    Returns:
      The aiohttp application.
    """
    app = server.build(
        parts.settings.operator_token.get_secret_value(),
        [
            *health_routes.routes(parts.is_ready),
            *state_routes.routes(_views(parts)),
            *metrics_routes.routes(
                parts.settings.instance_id,
                parts.metrics,
                lambda: views.families(
                    parts.platform_calls, parts.dispatch_state()
                ),
            ),
            *action_routes.routes(_actions(parts)),
        ],
    )
    bundle_routes.add_routes(app.router, parts.bundle_actions)
    return app


def _views(parts: Parts) -> state_routes.Views:
    def targets() -> dict[str, Any]:
        return views.targets(
            parts.bundle, parts.dispatch_state(), parts.target_states
        )

    def members() -> dict[str, Any]:
        return views.members(parts.directory)

    def state() -> dict[str, Any]:
        return {
            **parts.dump(),
            "region": parts.settings.region,
            "zone": parts.settings.zone,
            "ready": parts.is_ready(),
            "stopping": parts.is_stopping(),
            "log_level": logs.get_level(),
            "members": members()["members"],
            "target_states": targets()["targets"],
        }

    return state_routes.Views(
        state, members, targets, parts.bundle.document, parts.records
    )


def _actions(parts: Parts) -> action_routes.Actions:
    return action_routes.Actions(
        # The signal itself, so that both ways of a planned stop are the same.
        request_stop=lambda: signal.raise_signal(signal.SIGTERM),
        is_stopping=parts.is_stopping,
        has_target=parts.bundle.has_target,
        target_states=parts.target_states,
        log_level=logs.get_level,
        set_log_level=logs.set_level,
        now_ms=lambda: time.time_ns() // 1_000_000,
    )
