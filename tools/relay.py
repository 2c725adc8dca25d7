"""Relays between peers that can stop passing bytes without closing anything.

Each ordered pair of processes gets a listening address of its own. A cut link
neither reads nor connects onward until it is healed, as in a network that
silently loses every packet: what was on its way arrives late or never.
"""

import asyncio
import threading

RELAY_PORT = 17500
CHUNK_BYTES = 65536


class Relay:
    """Links between named peers, run by one thread of the test."""

    def __init__(self):
        self.links = {}
        self.cuts = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.passed_bytes = 0

    def link(self, source, target, target_address):
        """Adds the link from source to target; gives the address that source uses."""
        number = len(self.links)
        host = f"127.{100 + number // 250}.0.{number % 250 + 1}"
        self.links[(source, target)] = host
        task = asyncio.run_coroutine_threadsafe(self._listen(source, target, host, target_address), self.loop)
        task.result(10)
        return f"{host}:{RELAY_PORT}"

    def cut(self, one_side, other_side):
        """Cuts all links between the two groups of peers, both ways."""
        for a in one_side:
            for b in other_side:
                self.cuts.update({(a, b), (b, a)})

    def cut_one_way(self, sources, targets):
        """Loses what the sources send to the targets."""
        self.cuts.update((a, b) for a in sources for b in targets)

    def heal(self):
        self.cuts.clear()

    def close(self):
        asyncio.run_coroutine_threadsafe(self._end(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)

    async def _end(self):
        tasks = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
        for it in tasks:
            it.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _listen(self, source, target, host, target_address):
        async def serve(reader, writer):
            await self._serve((source, target), reader, writer, target_address)

        await asyncio.start_server(serve, host, RELAY_PORT, reuse_address=True)

    async def _until_whole(self, pair):
        while pair in self.cuts:
            await asyncio.sleep(0.02)

    async def _serve(self, pair, reader, writer, target_address):
        await self._until_whole(pair)
        host, port = target_address.rsplit(":", 1)
        try:
            onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(self._pump(pair, reader, onward_writer), self._pump(pair, onward_reader, writer))

    async def _pump(self, pair, reader, writer):
        try:
            while True:
                await self._until_whole(pair)
                data = await reader.read(CHUNK_BYTES)
                await self._until_whole(pair)
                if not data:
                    break
                self.passed_bytes += len(data)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
