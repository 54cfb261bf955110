"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import urllib.parse

import http11

PAGE_ITEMS = 500
ANSWER_S = 0.004


class Store:
    """Serve ranges, watches and transactions; every write is kept."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.era = None
        self.refusing = False
        self._history = []
        self._changed = asyncio.Event()
        self._server = http11.Server(self._handle)

    async def start(self):
        return await self._server.start()

    async def stop(self):
        await self._server.stop()

    def put(self, key, value):
        """Write or remove a key; the return is the acknowledgement."""
        self.revision += 1
        self._write(key, value)
        self._notify()

    def copy(self):
        return dict(self.items), self.revision, list(self._history)

    def restore(self, copy):
        """Return to a copy; operator's and replicas' keys are kept."""
        kept = {k: v for k, v in self.items.items()
                if k.startswith(("op/", "servers/"))}
        self.items, self.revision, self._history = (
            dict(copy[0]), copy[1], list(copy[2]))
        self.era = (self.era or 0) + 1
        for key in [k for k in self.items
                    if k.startswith(("op/", "servers/")) and k not in kept]:
            self.revision += 1
            self._write(key, None)
        for key, (value, _) in kept.items():
            if self.items.get(key, (None, 0))[0] != value:
                self.revision += 1
                self._write(key, value)
        self._notify()

    def _write(self, key, value):
        self._history.append((key, self.revision, value))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, message, reader, writer):
        _, target, _ = message.first.split()
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(ANSWER_S)
        if self.refusing:
            status, answer = 503, {}
        elif url.path == "/v1/kv-range":
            status, answer = 200, self._range(query)
        elif url.path == "/v1/kv-watch":
            status, answer = await self._watch(query)
        elif url.path == "/v1/kv-txn":
            status, answer = self._txn(json.loads(message.body))
        else:
            status, answer = 404, {}
        headers = [("Content-Type", "application/json")]
        if self.era is not None:
            headers.append(("Store-Era", self.era))
        writer.write(http11.encode(
            f"HTTP/1.1 {status} {http11.REASONS[status]}", headers,
            json.dumps(answer).encode()))
        await writer.drain()
        return True

    def _encode(self, key):
        value, revision = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": revision, "lease": 0}

    def _range(self, query):
        after = query.get("after", "")
        keys = sorted(k for k in self.items
                      if k.startswith(query["prefix"]) and k > after)
        return {"items": [self._encode(k) for k in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS, "at_rev": self.revision}

    def _events(self, prefix, after):
        return [
            {"key": k, "revision": r, "deleted": True} if v is None else
            {"key": k, "value": base64.b64encode(v).decode(), "revision": r,
             "created": r, "lease": 0}
            for k, r, v in self._history if r > after and k.startswith(prefix)]

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        if after > self.revision:
            return 410, {}
        era = self.era
        loop = asyncio.get_running_loop()
        until_s = loop.time() + int(query["wait_ms"]) / 1000
        while not (events := self._events(prefix, after)):
            changed = self._changed
            try:
                await asyncio.wait_for(
                    changed.wait(), max(until_s - loop.time(), 0.0))
            except TimeoutError:
                break
            if self.era != era:
                return 410, {}
        return 200, {"events": events, "at_rev": self.revision}

    def _txn(self, txn):
        expected = txn.get("expected", [])
        wrong = [e for e in expected
                 if self.items.get(e["key"], (b"", 0))[1] != e["revision"]]
        if wrong:
            return 412, {"items": [self._encode(e["key"]) for e in expected
                                   if e["key"] in self.items]}
        self.revision += 1
        for entry in txn.get("replace", []):
            self._write(entry["key"], base64.b64decode(entry["value"]))
        for key in txn.get("remove", []):
            self._write(key, None)
        self._notify()
        return 200, {"revision": self.revision}
