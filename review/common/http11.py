"""Small HTTP/1.1 server and client on asyncio streams, for the stand-ins."""

import asyncio


class Message:
    """Hold the head and body of one request or response."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=None):
        """Return the first value of a header, by its lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return default


async def read_head(reader):
    """Read a head; None if the peer closed before its first byte."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as err:
        if err.partial:
            raise ConnectionError("closed within a head") from err
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            key, _, value = line.partition(":")
            headers.append((key.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message):
    """Read a body with a length or in chunks; return it."""
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        parts = []
        async for part in iterate_chunks(reader):
            parts.append(part)
        return b"".join(parts)
    length = int(message.get("content-length") or 0)
    return await reader.readexactly(length) if length else b""


async def iterate_chunks(reader):
    """Yield the chunks of a body; raise if it breaks off."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise ConnectionError("closed within a chunked body")
        size = int(line.strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


def encode(first, headers, body=None):
    """Return a message with a length, or only its head if body is None."""
    lines = [first, *(f"{key}: {value}" for key, value in headers)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    return head + (body or b"")


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Failed",
           421: "Misdirected", 429: "Busy", 500: "Error", 503: "Unavailable"}


class Server:
    """Accept connections and call a handler for each request.

    The handler gets (message, reader, writer) and writes the response.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()
        self.port = 0

    async def start(self, port=0, host="127.0.0.1"):
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{self.port}"

    async def stop(self):
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                message.body = await read_body(reader, message)
                if await self._handle(message, reader, writer) is False:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Answer:
    """Hold what a client saw of one request.

    status is 0 if the connection ended before a whole head; whole tells
    whether the answer is complete; events counts whole events of a stream.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.whole = False
        self.error = ""
        self.sent_s = 0.0
        self.ended_s = 0.0

    @property
    def events(self):
        return self.body.count(b"\n\n")


class Client:
    """Send requests on one kept connection, opened when needed."""

    def __init__(self, address):
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._stream = None

    async def send(self, method, path, headers, body=b"", timeout_s=15.0):
        """Send one request and return its `Answer`; never raises."""
        loop = asyncio.get_running_loop()
        answer = Answer()
        answer.sent_s = loop.time()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(method, path, headers, body, answer)
        except TimeoutError:
            answer.error = "time-out"
        except (OSError, asyncio.IncompleteReadError, ValueError) as err:
            answer.error = repr(err)[:80]
        answer.ended_s = loop.time()
        if not answer.whole:
            self.close()
        return answer

    async def _exchange(self, method, path, headers, body, answer):
        if self._stream is None:
            self._stream = await asyncio.wait_for(
                asyncio.open_connection(self._host, self._port, limit=2**20),
                1.0)
        reader, writer = self._stream
        with_body = body if body or method != "GET" else None
        writer.write(encode(f"{method} {path} HTTP/1.1", headers, with_body))
        head = await read_head(reader)
        if head is None:
            raise ConnectionError("closed before a head")
        answer.headers = dict(head.headers)
        answer.status = int(head.first.split()[1])
        if (head.get("transfer-encoding") or "").lower() == "chunked":
            async for part in iterate_chunks(reader):
                answer.body += part
        else:
            answer.body = await read_body(reader, head)
        answer.whole = True
        if "close" in (head.get("connection") or "").lower():
            self.close()

    def close(self):
        """Close the connection, if any."""
        if self._stream is not None:
            self._stream[1].transport.abort()
            self._stream = None
