"""HTTP client for the operator interface of the instances."""

import asyncio
from collections.abc import Mapping
import contextlib
from typing import Any
from typing import Self

import aiohttp
import msgspec
from returns import result

from lycheectl._internal import config as config_lib
from lycheerock_model import answers

CALL_TIMEOUT_S = 10.0
CONNECT_TIMEOUT_S = 3.0

# The request was never sent.
UNREACHABLE = "unreachable"
# The request may have been sent; its outcome is unknown.
NO_REPLY = "no_reply"

# The JSON value of a reply, or the error if the call failed.
Reply = result.Result[Any, answers.ErrorBody]


class Client:
    """HTTP client for one command, used as an async context manager.

    Failed calls return an error instead of raising an exception.
    """

    def __init__(self, config: config_lib.Config):
        self.config = config
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        token = self.config.token.get_secret_value()
        self._session = await self._stack.enter_async_context(
            aiohttp.ClientSession(
                headers={"Authorization": f"Bearer {token}"},
                timeout=aiohttp.ClientTimeout(
                    total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
                ),
            )
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def call(
        self, instance_id: str, method: str, path: str, body: Any = None
    ) -> Reply:
        """Calls one instance.

        Args:
          instance_id: Id of the instance to call.
          method: HTTP method.
          path: Path with a leading slash.
          body: JSON value to send, or None.

        Returns:
          The JSON value of the reply, or an error. Besides the kinds that
          instances send, the error kind may be UNREACHABLE, NO_REPLY,
          "not_found" for an id that is not configured, or "bad_reply" for a
          reply that did not come from the operator interface.
        """
        address = self.config.instances.get(instance_id)
        if address is None:
            return result.Failure(
                _unknown_instance_error(instance_id, self.config)
            )
        url = f"http://{address}{path}"
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method, url, data=data, allow_redirects=False
            ) as response:
                return _parse_reply(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return result.Failure(_unreachable_error(instance_id, error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return result.Failure(_no_reply_error(instance_id, method, error))

    async def call_all(
        self, method: str, path: str, body: Any = None
    ) -> Mapping[str, Reply]:
        """Calls all instances concurrently; returns replies by instance id."""
        instance_ids = sorted(self.config.instances)
        replies = await asyncio.gather(
            *(self.call(i, method, path, body) for i in instance_ids)
        )
        return dict(zip(instance_ids, replies, strict=True))

    async def call_any(self, method: str, path: str, body: Any = None) -> Reply:
        """Calls one instance, chosen because it replied to a probe.

        The request is sent to one instance only and never retried, because an
        instance that does not reply may still have executed it.
        """
        probes = await self.call_all("GET", "/ops/log-level")
        for instance_id, reply in probes.items():
            if not has_no_reply(reply):
                return await self.call(instance_id, method, path, body)
        return next(iter(probes.values()))


def has_no_reply(reply: Reply) -> bool:
    """Returns whether the call failed because no reply was received."""
    return isinstance(reply, result.Failure) and reply.failure().kind in (
        UNREACHABLE,
        NO_REPLY,
    )


def _parse_reply(status: int, body: bytes) -> Reply:
    try:
        value = msgspec.json.decode(body)
        if status < 400:
            return result.Success(value)
        return result.Failure(_parse_error(value["error"]))
    except (msgspec.MsgspecError, KeyError, TypeError):
        return result.Failure(
            answers.ErrorBody(
                "bad_reply",
                f"unexpected reply with HTTP status {status}",
                "check that the address is an instance's operator address",
            )
        )


def _parse_error(error: dict[str, Any]) -> answers.ErrorBody:
    message = error["message"]
    return answers.ErrorBody(
        error["kind"], message, error["remedy"], error.get("retry_after_ms")
    )


def _unreachable_error(instance_id: str, error: Exception) -> answers.ErrorBody:
    return answers.ErrorBody(
        UNREACHABLE,
        f"{instance_id} cannot be reached ({type(error).__name__})",
        "check that it is running and that its operator address is correct",
    )


def _unknown_instance_error(
    instance_id: str, config: config_lib.Config
) -> answers.ErrorBody:
    return answers.ErrorBody(
        "not_found",
        f"no instance {instance_id!r} in the configuration",
        f"use one of {', '.join(sorted(config.instances))}",
    )


def _no_reply_error(
    instance_id: str, method: str, error: Exception
) -> answers.ErrorBody:
    remedy = "check whether its process is stopped or overloaded"
    if method != "GET":
        remedy += (
            "; the action may have taken effect; check before repeating it"
        )
    return answers.ErrorBody(
        NO_REPLY,
        f"{instance_id} did not reply ({type(error).__name__})",
        remedy,
    )
