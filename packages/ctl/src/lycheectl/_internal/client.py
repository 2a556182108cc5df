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

Reply = result.Result[Any, answers.ErrorBody]


class Client:
    """HTTP client used for the duration of one command."""

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
          instance_id: The instance.
          method: HTTP method.
          path: Path with a leading slash.
          body: JSON value to send, or None.

        Returns:
          The JSON value of the reply, or a typed error.
        """
        address = self.config.instances.get(instance_id)
        if address is None:
            return result.Failure(_unknown(instance_id, self.config))
        url = f"http://{address}{path}"
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._session.request(
                method, url, data=data, allow_redirects=False
            ) as response:
                return _read(response.status, await response.read())
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return result.Failure(_unreachable(instance_id, error))
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            return result.Failure(_no_reply(instance_id, method, error))

    async def call_all(
        self, method: str, path: str, body: Any = None
    ) -> Mapping[str, Reply]:
        """Calls all instances concurrently; returns replies by instance id."""
        names = sorted(self.config.instances)
        replies = await asyncio.gather(
            *(self.call(name, method, path, body) for name in names)
        )
        return dict(zip(names, replies, strict=True))

    async def call_any(self, method: str, path: str, body: Any = None) -> Reply:
        """Calls one instance that has just replied to a probe.

        The request is sent to one instance only and never retried, because an
        instance that does not reply may still have executed it.
        """
        probes = await self.call_all("GET", "/ops/log-level")
        for name, reply in probes.items():
            if not has_no_reply(reply):
                return await self.call(name, method, path, body)
        return next(iter(probes.values()))


def has_no_reply(reply: Reply) -> bool:
    """Returns whether the call failed without any reply."""
    return isinstance(reply, result.Failure) and reply.failure().kind in (
        UNREACHABLE,
        NO_REPLY,
    )


def _read(status: int, text: bytes) -> Reply:
    try:
        value = msgspec.json.decode(text)
        if status < 400:
            return result.Success(value)
        return result.Failure(_to_error(value["error"]))
    except (msgspec.MsgspecError, KeyError, TypeError):
        return result.Failure(
            answers.ErrorBody(
                "bad_reply",
                f"HTTP status {status} without a typed error",
                "check that the address is an instance's operator address",
            )
        )


def _to_error(error: dict[str, Any]) -> answers.ErrorBody:
    message = error["message"]
    return answers.ErrorBody(
        error["kind"], message, error["remedy"], error.get("retry_after_ms")
    )


def _unreachable(instance_id: str, error: Exception) -> answers.ErrorBody:
    return answers.ErrorBody(
        UNREACHABLE,
        f"{instance_id} cannot be reached ({type(error).__name__})",
        "check that it is running and that its operator address is right",
    )


def _unknown(instance_id: str, config: config_lib.Config) -> answers.ErrorBody:
    return answers.ErrorBody(
        "not_found",
        f"no instance {instance_id!r} in the configuration",
        f"name one of {', '.join(sorted(config.instances))}",
    )


def _no_reply(
    instance_id: str, method: str, error: Exception
) -> answers.ErrorBody:
    remedy = "check its process; it may be stopped or overloaded"
    if method != "GET":
        remedy += "; the action may have taken effect, so check the state first"
    return answers.ErrorBody(
        NO_REPLY,
        f"{instance_id} did not reply ({type(error).__name__})",
        remedy,
    )
