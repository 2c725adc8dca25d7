"""Relays between peers that can stop forwarding bytes without closing connections.

Each ordered pair of processes gets its own listening address. A cut link neither
reads nor connects to the target until it is healed, like a network that silently
loses every packet: bytes in flight arrive late or never.
"""

import asyncio
import os
import threading

RELAY_PORT = 17500
CHUNK_BYTES = 65536
FIRST_RANGE = 100 + int(os.environ.get("TEASEL_LOOPBACK_RANGE", "0"))


class Relay:
    """Links between named peers, served by one thread of the test process."""

    def __init__(self):
        self.links = {}
        self.cuts = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.forwarded_bytes = 0

    def link(self, source, target, target_address):
        """Adds the link from source to target; returns the address to which source connects."""
        number = len(self.links)
        host = f"127.{FIRST_RANGE + number // 250}.0.{number % 250 + 1}"
        self.links[(source, target)] = host
        task = asyncio.run_coroutine_threadsafe(self._listen(source, target, host, target_address), self.loop)
        task.result(10)
        return f"{host}:{RELAY_PORT}"

    def cut(self, one_side, other_side):
        """Cuts all links between the two groups of peers, in both directions."""
        for a in one_side:
            for b in other_side:
                self.cuts.update({(a, b), (b, a)})

    def cut_one_way(self, sources, targets):
        """Cuts the links from the sources to the targets, but not those in the other direction."""
        self.cuts.update((a, b) for a in sources for b in targets)

    def heal(self):
        self.cuts.clear()

    def close(self):
        asyncio.run_coroutine_threadsafe(self._cancel_tasks(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _cancel_tasks(self):
        tasks = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
        for it in tasks:
            it.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _listen(self, source, target, host, target_address):
        async def serve(reader, writer):
            await self._forward_connection((source, target), reader, writer, target_address)

        await asyncio.start_server(serve, host, RELAY_PORT, reuse_address=True)

    async def _wait_until_healed(self, pair):
        while pair in self.cuts:
            await asyncio.sleep(0.02)

    async def _forward_connection(self, pair, reader, writer, target_address):
        await self._wait_until_healed(pair)
        host, port = target_address.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._copy(pair, reader, target_writer), self._copy(pair, target_reader, writer))

    async def _copy(self, pair, reader, writer):
        try:
            while True:
                await self._wait_until_healed(pair)
                data = await reader.read(CHUNK_BYTES)
                await self._wait_until_healed(pair)
                if not data:
                    break
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
