"""Tests of the Keep-Alive header of targets' responses."""

import pytest
import test_target_responses

from lycheerock._internal.upstream import connection as connection_lib


class TestTimeout:
    """The idle timeout that a target states."""

    @pytest.mark.parametrize(
        ("value", "expected_s"),
        [("timeout=5", 5.0), ("max=9, timeout=12", 12.0), ("max=9", None)],
    )
    def test_stated_time_is_read(
        self, value: str, expected_s: float | None
    ) -> None:
        # Guards against connections that are used after the target has closed
        # them.
        assert connection_lib.parse_keep_alive_s(value) == expected_s

    @pytest.mark.parametrize("text", [b"\xb2", b"", b"-1", b"1e3", b"x"])
    def test_other_value_does_not_spoil_the_response(self, text: bytes) -> None:
        # Guards against a complete response that is lost because of a header
        # that says nothing about it.
        async def test() -> None:
            exchange = test_target_responses.Exchange()
            task = await exchange.start()
            head = test_target_responses.HEAD.replace(
                b"\r\n", b"\r\nKeep-Alive: timeout=" + text + b"\r\n", 1
            )
            exchange.feed(head + b"body")
            assert (await task).body == b"body"
            assert exchange.connection.idle_limit_s is None

        test_target_responses.run(test)
