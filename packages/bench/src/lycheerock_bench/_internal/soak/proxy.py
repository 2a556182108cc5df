"""A loopback proxy for TCP that delays, resets, cuts or silences."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 65_536
_POLL_S = 0.02


class Harm(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    # Bytes are held back for `delay_s`.
    DELAY = "delay"
    # Bytes of the answering side are lost.
    ONE_WAY = "one_way"
    # Bytes of both sides are lost; connections stay open, new ones hang.
    SILENT = "silent"


class Proxy:
    """Forwards connections to one address.

    Attributes:
      harm: What it does to bytes that pass from now on.
      delay_s: Delay of `Harm.DELAY`.
      port: Loopback port that it listens on.
    """

    def __init__(self, target_port: int) -> None:
        self.harm = Harm.NONE
        self.delay_s = 0.0
        self.port = 0
        self._target_port = target_port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: set[asyncio.StreamWriter] = set()
        # Connections that lost a byte never carry one again, as on a path that
        # has forgotten them.
        self._dead: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens on a free loopback port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Ends all connections and stops listening."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in self._tasks:
            task.cancel()

    def reset(self) -> None:
        """Ends all open connections at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
        except OSError:
            # The other end is down, which the caller sees as a reset.
            writer.transport.abort()
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, answers=False),
                self._pump(far_reader, writer, answers=True),
            )
        except asyncio.CancelledError:
            # The end of the proxy; asyncio's streams would report it as a
            # failure of this handler.
            return
        finally:
            self._writers -= pair
            self._dead -= pair
            for end in pair:
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        answers: bool,
    ) -> None:
        # A connection that ends on one side ends on the other.
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.harm == Harm.DELAY:
                    await asyncio.sleep(self.delay_s)
                is_lost = self.harm == Harm.SILENT or (
                    self.harm == Harm.ONE_WAY and answers
                )
                if is_lost:
                    self._dead.add(writer)
                if writer not in self._dead:
                    writer.write(data)
                    await writer.drain()
            if writer in self._dead:
                while self.harm != Harm.NONE:
                    await asyncio.sleep(_POLL_S)
            else:
                writer.write_eof()
