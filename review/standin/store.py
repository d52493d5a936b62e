"""Stand-in of the platform's metadata store (PROTOCOL.md, "The platform's metadata store")."""

import asyncio
import base64
import json
import time

from . import web

ROW_BYTES = 65536
TX_S = 0.004
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000


class Store:
    def __init__(self, ip, port):
        self.ip, self.port = ip, port
        self.server = web.Server(ip, port, self.handle)
        self.rows = {}  # (table, part, key) -> (value, version)
        self.history = []  # (version, table, part, key, value or None)
        self.version = 0
        self.changed = None  # made on the event loop that uses it
        self.parts = {}  # part -> lock: one transaction after another
        self.silent = False  # down: calls are neither carried out nor answered
        self.refused_rows = 0

    async def start(self):
        self.changed = asyncio.Condition()
        await self.server.start()

    def stamp(self, out):
        return {**out, "ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def put(self, table, key, value):
        """A write of the operator."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        await self.apply([(table, "", key, text)])

    async def apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[(table, part, key)] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request):
        if self.silent:
            await asyncio.sleep(60)
            return None
        if request.path == "/rows-tx":
            return await self.transact(request)
        if request.path == "/rows-get":
            return self.get(request.query)
        if request.path == "/rows-parts":
            parts = sorted({at[1] for at in self.rows if at[0] == request.query["table"]})
            return 200, self.stamp({"parts": parts})
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    async def transact(self, request):
        if len(request.body) > MAX_CALL_BYTES:
            return 413, {}
        body = request.json()
        expected, upserts, remove = (body.get(name, []) for name in ("expected", "upserts", "remove"))
        entries = expected + upserts + remove
        if not entries or len(entries) > MAX_ENTRIES:
            return 400, {}
        parts = {entry.get("part", "") for entry in entries}
        if len(parts) > 1 and not body.get("across"):
            return 400, {}
        for entry in upserts:
            if len(base64.b64decode(entry["value"])) > ROW_BYTES:
                self.refused_rows += 1
                return 400, {}
            if entry["table"] in ("op", "servers"):
                return 403, {}
        lock = self.parts.setdefault(min(parts), asyncio.Lock())
        async with lock:
            await asyncio.sleep(TX_S)
            if self.silent:
                return None
            at = lambda entry: (entry["table"], entry.get("part", ""), entry["key"])
            if any(self.rows.get(at(entry), ("", 0))[1] != entry["ver"] for entry in expected):
                found = [{"table": entry["table"], "part": entry.get("part", ""), "key": entry["key"],
                          "value": self.rows[at(entry)][0], "ver": self.rows[at(entry)][1]}
                         for entry in expected if at(entry) in self.rows]
                return 412, self.stamp({"rows": found})
            await self.apply([(*at(entry), entry["value"]) for entry in upserts] +
                             [(*at(entry), None) for entry in remove])
            return 200, self.stamp({})

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted((at[2] for at in self.rows if at[0] == table and at[1] == part), key=str.encode)
        keys = [key for key in keys if key >= low and (high is None or key < high)]
        out, size = [], 0
        for key in keys[:limit]:
            value, version = self.rows[(table, part, key)]
            size += len(value)
            if out and size > PAGE_BYTES:
                break
            out.append({"table": table, "part": part, "key": key, "value": value, "ver": version})
        return 200, self.stamp({"rows": out, "more_pages": len(out) < len(keys)})

    async def feed(self, query):
        table, after = query["table"], int(query.get("after", 0))
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            found = [entry for entry in self.history if entry[0] > after and entry[1] == table]
            left = until - time.monotonic()
            if found or left <= 0:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        rows = []
        for version, _, part, key, value in found:
            row = {"table": table, "part": part, "key": key, "ver": version}
            row.update({"removed": True} if value is None else {"value": value})
            rows.append(row)
        return (None if self.silent else (200, self.stamp({"rows": rows})))
