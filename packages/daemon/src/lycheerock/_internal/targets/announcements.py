"""Records what targets announce in their responses."""

import structlog

from lycheerock._internal.targets import registry as registry_lib

_LOG = structlog.get_logger()


def record_leaving(
    registry: registry_lib.Registry,
    target: registry_lib.Target,
    now_s: float,
    *,
    is_misdirected: bool,
) -> None:
    """Records a response that announces that its sender is leaving.

    Args:
      registry: The listed targets.
      target: The target to which the request was sent.
      now_s: Current monotonic time.
      is_misdirected: Whether another target responded at its address.
    """
    address = (target.entry.host, target.entry.port)
    senders = [target]
    if is_misdirected:
        senders = [
            t for t in registry.all() if (t.entry.host, t.entry.port) == address
        ]
    for sender in senders:
        if not sender.signals.record_leaving(now_s):
            continue
        registry.signal_counts["leaving"] += 1
        if registry.drain_s > 0.0:
            sender.pool.withdraw_waiting()
        else:
            sender.pool.close()
        _LOG.info(
            "target_leaving",
            target=sender.entry.target_id,
            service=sender.entry.service,
            in_flight=sender.health.in_flight,
            source="response",
            last_resort_ms=round(registry.drain_s * 1000),
        )


def record_backoff(
    registry: registry_lib.Registry,
    target: registry_lib.Target,
    now_s: float,
    duration_s: float,
) -> None:
    """Records a response by which a target asks for a backoff.

    Args:
      registry: The listed targets.
      target: The target that responded.
      now_s: Current monotonic time.
      duration_s: Time for which it wants no requests.
    """
    if target.signals.record_backoff(now_s, duration_s):
        registry.signal_counts["backoff"] += 1
        _LOG.info(
            "target_backoff",
            target=target.entry.target_id,
            service=target.entry.service,
            in_flight=target.health.in_flight,
            duration_ms=round(duration_s * 1000),
        )
    if target.signals.is_backing_off(now_s):
        target.pool.withdraw_waiting()
