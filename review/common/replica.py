"""Stand-in of a replica, plain or a model, as PROTOCOL.md describes it."""

import asyncio
import json
import time

import http11

STEP_S = 0.01


class Run:
    """Record one request that a replica began to run."""

    def __init__(self, replica, message, at_s):
        _, self.path, _ = message.first.split()
        self.replica = replica.name
        self.service = replica.service
        self.id = message.get("request-id")
        self.tenant = message.get("tenant")
        self.counts = message.get("token-counts")
        self.at_s = at_s


class Replica:
    """Serve requests of one service and register in the store.

    :param runs: list that all replicas add their runs to
    :param work_s: time of a plain request, or up to a stream's first event
    """

    def __init__(self, store, runs, name, service, zone, slots=6, work_s=0.03,
                 queue=0):
        self.store, self.runs = store, runs
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self._free = asyncio.Semaphore(slots)
        self.poison = None
        self.crashes = []
        self.arrivals = []
        self._running = 0
        self._server = None
        self.address = ""

    async def start(self, state="ready"):
        """Listen, at the former address if any, and register."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = http11.Server(self._handle)
        self.address = await self._server.start(port)
        self.born = int(time.time() * 1000)
        self._running, self._free = 0, asyncio.Semaphore(self.slots)
        self.register(state)

    def register(self, state):
        """Write the entry; None removes it."""
        key = f"servers/{self.name}"
        self.store.put(key, None if state is None else json.dumps({
            "service": self.service, "address": self.address,
            "zone": self.zone, "version": "1", "slots": self.slots,
            "state": state, "cold_left_ms": 0, "seq": 1, "born": self.born,
        }).encode())

    async def stop(self):
        await self._server.stop()

    async def _handle(self, message, reader, writer):
        loop = asyncio.get_running_loop()
        self.arrivals.append(loop.time())
        expected = message.get("expect-replica")
        request_id = message.get("request-id") or ""
        base = [("Request-Id", request_id)]
        if expected not in (None, self.name):
            self._write(writer, 421, [*base, ("Not-Executed", 1)], b"")
            return True
        if message.first.split()[1] == "/health":
            self._write(writer, 200, [("Replica-Id", self.name)], b"")
            return True
        if self._running >= self.slots + self.queue:
            self._write(writer, 503, [*base, ("Not-Executed", 1)], b"")
            return True
        self._running += 1
        free = self._free
        await free.acquire()
        try:
            if writer.transport.is_closing():
                # The caller left, or the replica crashed, in the queue.
                return False
            self.runs.append(Run(self, message, loop.time()))
            if self.poison is not None and message.body.startswith(
                    self.poison):
                await asyncio.sleep(0.01)
                # The request's own connection is reset first.
                writer.transport.abort()
                self.crashes.append(loop.time())
                await self.crash()
                return False
            return await self._run(message, writer, base)
        finally:
            self._running -= 1
            free.release()

    async def _run(self, message, writer, base):
        await asyncio.sleep(self.work_s)
        if writer.transport.is_closing():
            return False
        base.append(("Replica-Stamp", f"{self.name}.{base[0][1]}"))
        counts = message.get("token-counts")
        if counts is None:
            self._write(writer, 200, base, b"done " + base[0][1].encode())
            return True
        events = max(int(counts.split(",")[1]) // 4, 1)
        first = int(message.get("last-event-id") or 0) + 1
        writer.write(http11.encode("HTTP/1.1 200 OK", [
            *base, ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")]))
        for number in range(first, events + 1):
            if writer.transport.is_closing():
                return False
            data = f"id: {number}\ndata: {base[0][1]}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(STEP_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def crash(self):
        """Reset everything, as a process that ends does."""
        await self._server.stop()

    @staticmethod
    def _write(writer, status, headers, body):
        writer.write(http11.encode(
            f"HTTP/1.1 {status} {http11.REASONS[status]}", headers, body))
