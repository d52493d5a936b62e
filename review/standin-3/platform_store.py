"""The platform's store as PROTOCOL.md describes its table form, on a loopback address.

`fault` may be set to a function of the call (method, path, body as text, port of the peer) that returns None for a
sound answer; ("late", SECONDS): the connection delivers nothing further, and the call is carried out that much later if
its condition still holds; ("hang", SECONDS): no answer, and nothing is done; ("busy", 0): 503, and nothing is done;
("reset", 0): the connection is reset, and nothing is done.
"""

import base64
import json
import socket
import socketserver
import struct
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler

ROW_BYTES = 65536
HISTORY_S = 20.0


class Rows:
    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, time, place, value or None)
        self.version = 1
        self.forgotten = 0  # newest version that the history lacks

    def _set(self, place, value):
        if value is None:
            if self.rows.pop(place, None) is None:
                return
        else:
            self.rows[place] = (value, self.version)
        self.log.append((self.version, time.monotonic(), place, value))

    def put(self, place, value):
        """A change by the operator, which is not limited."""
        with self.changed:
            self.version += 1
            self._set(place, value)
            self.changed.notify_all()

    def value(self, place):
        with self.changed:
            return self.rows.get(place, (None, 0))[0]

    def _answer(self, rows, **more):
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}

    @staticmethod
    def _row(place, version, value):
        out = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
        out.update({"removed": True} if value is None else {"value": value})
        return out

    def transact(self, change):
        def place(entry):
            return entry["table"], entry.get("part", ""), entry["key"]

        expected, upserts, removed = (change.get(name, []) for name in ("expected", "upserts", "remove"))
        entries = expected + upserts + removed
        if len(entries) > 100 or (not change.get("across") and len({e.get("part", "") for e in entries}) > 1):
            return 400, {"reason": "entries"}
        if any(e["table"] in ("op", "servers") for e in upserts + removed):
            return 403, {"reason": "table"}
        if any(len(base64.b64decode(e["value"])) > ROW_BYTES for e in upserts):
            return 400, {"reason": "row_bytes"}
        with self.changed:
            if any(self.rows.get(place(e), (None, 0))[1] != e["ver"] for e in expected):
                found = [place(e) for e in expected if place(e) in self.rows]
                return 412, self._answer([self._row(p, self.rows[p][1], self.rows[p][0]) for p in found])
            self.version += 1
            for entry in upserts:
                self._set(place(entry), entry["value"])
            for entry in removed:
                self._set(place(entry), None)
            old = time.monotonic() - HISTORY_S
            while self.log and self.log[0][1] < old:
                self.forgotten = self.log.pop(0)[0]
            self.changed.notify_all()
            return 200, self._answer([])

    def get(self, query):
        table, part = query["table"], query.get("part", "")
        with self.changed:
            found = sorted(p for p in self.rows if p[:2] == (table, part) and p[2] >= query.get("from", "")
                           and ("to" not in query or p[2] < query["to"]))
            limit = min(int(query.get("limit", 500)), 500)
            rows = [self._row(p, self.rows[p][1], self.rows[p][0]) for p in found[:limit]]
            return 200, self._answer(rows, more_pages=len(found) > limit)

    def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        with self.changed:
            while True:
                if after < self.forgotten:
                    return 410, {}
                rows = [self._row(place, version, value) for version, _, place, value in self.log
                        if version > after and place[0] == query["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self._answer(rows)
                self.changed.wait(left)


class Store(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, record, address=("127.0.0.1", 0)):
        self.state = Rows()
        self.record = record
        self.fault = None
        self.answer_s = 0.0  # what a sound answer takes
        super().__init__(address, Handler)
        self.port = self.server_address[1]
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """A process that is stopped leaves calls behind."""

    def configure(self, value):
        self.state.put(("op", "", "config"), base64.b64encode(json.dumps(value).encode()).decode())

    def call(self, method, path, body):
        name, _, query = path.partition("?")
        if method == "POST" and name == "/rows-tx":
            return self.state.transact(json.loads(body))
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        calls = {"/rows-get": self.state.get, "/rows-feed": self.state.feed}
        return calls[name](arguments) if method == "GET" and name in calls else (404, {})


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def _serve(self, method):
        body = self.rfile.read(int(self.headers.get("content-length", 0))).decode()
        server = self.server
        fault = server.fault and server.fault(method, self.path, body, self.client_address[1])
        if fault and fault[0] == "late":
            def carry_out():
                status, _ = server.call(method, self.path, body)
                server.record("store", f"carried out late: {method} {self.path} -> {status}")

            server.record("store", f"not answered, to be carried out in {fault[1]} s: {method} {self.path} {body[:200]}")
            timer = threading.Timer(fault[1], carry_out)
            timer.daemon = True
            timer.start()
            time.sleep(fault[1] + 1)  # the connection stays open and delivers nothing further
            self.close_connection = True
            return
        if fault and fault[0] == "reset":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close_connection = True
            return
        if fault and fault[0] == "hang":
            time.sleep(fault[1])
            self.close_connection = True
            return
        time.sleep(server.answer_s)
        status, value = (503, {}) if fault and fault[0] == "busy" else server.call(method, self.path, body)
        data = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self):
        self._serve("GET")

    def do_POST(self):
        self._serve("POST")
