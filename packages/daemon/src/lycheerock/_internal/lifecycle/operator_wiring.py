"""Connects the operator interface to the components of the process."""

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
class Components:
    """Components of the process that the operator interface reads or controls.

    Attributes:
      settings: Settings of the process.
      dump: Returns the state of the process as JSON values.
      is_ready: Returns whether the readiness check passes.
      is_stopping: Returns whether a graceful shutdown has begun.
      directory: Member directory.
      bundle: View of the bundle in force.
      bundle_actions: Actions of operators on bundles.
      dispatch_state: Returns the state of each target in the dispatcher.
      target_states: Newest report on each target.
      records: Records of recent requests.
      metrics: Metrics of caller requests.
      platform_calls: Numbers of calls to the platform by kind.
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


def build(components: Components) -> aiohttp.web.Application:
    """Builds the web application of the operator interface.

    Args:
      components: Components that the interface reads or controls.

    Returns:
      Application to serve on the operator address.
    """
    app = server.build(
        components.settings.operator_token.get_secret_value(),
        [
            *health_routes.routes(components.is_ready),
            *state_routes.routes(_views(components)),
            *metrics_routes.routes(
                components.settings.instance_id,
                components.metrics,
                lambda: views.families(
                    components.platform_calls, components.dispatch_state()
                ),
            ),
            *action_routes.routes(_actions(components)),
        ],
    )
    bundle_routes.add_routes(app.router, components.bundle_actions)
    return app


def _views(components: Components) -> state_routes.Views:
    def targets() -> dict[str, Any]:
        return views.targets(
            components.bundle,
            components.dispatch_state(),
            components.target_states,
        )

    def members() -> dict[str, Any]:
        return views.members(components.directory)

    def state() -> dict[str, Any]:
        return {
            **components.dump(),
            "region": components.settings.region,
            "zone": components.settings.zone,
            "ready": components.is_ready(),
            "stopping": components.is_stopping(),
            "log_level": logs.get_level(),
            "members": members()["members"],
            "target_states": targets()["targets"],
        }

    return state_routes.Views(
        state, members, targets, components.bundle.document, components.records
    )


def _actions(components: Components) -> action_routes.Actions:
    return action_routes.Actions(
        # Raises SIGTERM, so that a shutdown requested by an operator runs the
        # same code as one started by a signal.
        request_stop=lambda: signal.raise_signal(signal.SIGTERM),
        is_stopping=components.is_stopping,
        has_target=components.bundle.has_target,
        target_states=components.target_states,
        log_level=logs.get_level,
        set_log_level=logs.set_level,
        now_ms=lambda: time.time_ns() // 1_000_000,
    )
