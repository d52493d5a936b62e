"""Stand-ins for the platform on loopback: its store, the workers of the VMs, and the network between VMs.

Follows the platform's published protocol. Everything runs in one event loop; gateways and runners are real processes.

A process announces the address that it listens on. To put a relay on every path between two VMs, the store and the
relays replace such addresses, in what they pass on, with addresses of the same length that the receiving VM reaches
through its own relay to that process.
"""

import asyncio
import base64
import contextlib
import json
import re
import time
import urllib.parse

REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 503: "Service Unavailable"}
ROW_BYTES = 65536
HISTORY_S = 20.0
HOLD_MAX_MS = 6000
STOP_S = 0.05
GANG_TIMEOUT_S = 3.0
STARTUP_S = 0.4
HEARTBEAT_S = 1.5
MAX_PROCESSES = 64  # of one deployment; the relays' ports follow those of the processes


class Addresses:
    """Addresses of the processes' peer ports, as they bind them and as each VM is told of them."""

    PATTERN = re.compile(rb"127\.1\d\d\.1\.100:(\d{5})")

    def __init__(self, first_port):
        self.first_port = first_port
        self.vm_of = {}  # process number -> VM number

    def bound(self, process):
        return "127.100.1.100", self.first_port + process

    def relay(self, reader, process):
        return f"127.1{reader + 1:02d}.1.100", self.first_port + MAX_PROCESSES + process

    def as_seen_by(self, reader, data):
        """The same bytes with each address replaced; `reader` is a VM, or None for addresses as they are bound."""
        if b".1.100:" not in data:
            return data

        def replace(match):
            number = int(match[1]) - self.first_port
            if not 0 <= number < 2 * MAX_PROCESSES:
                return match[0]
            process = number % MAX_PROCESSES
            direct = reader is None or self.vm_of.get(process) == reader
            ip, port = self.bound(process) if direct else self.relay(reader, process)
            return f"{ip}:{port}".encode()

        return self.PATTERN.sub(replace, data)


class Network:
    """The relays between VMs, and the faults of their links."""

    def __init__(self, addresses, note):
        self.addresses, self.note = addresses, note
        self.cut_to, self.cut_from = set(), set()  # VMs that nothing reaches, or that nothing leaves
        self.refuses_new = set()  # of these, VMs to which no new connections come about either
        self.cut_from_store = set()  # of these, VMs whose calls to the store are cut as well
        self.delay_s = {}
        self.changed = asyncio.Event()
        self.servers = []
        self.relaying = set()  # tasks
        self.open = []  # [VM, VM, [silent]]

    def passes(self, source, target):
        return source not in self.cut_from and target not in self.cut_to

    def is_cut(self, vm):
        return vm in self.cut_to or vm in self.cut_from

    def set_cut(self, vm, to=False, out=False, new=True, store=False):
        """Cuts what is sent to the VM, what it sends, or both. Without `new`, no connections are opened meanwhile."""
        for cut, wanted in ((self.cut_to, to), (self.cut_from, out), (self.refuses_new, not new and (to or out)),
                            (self.cut_from_store, store)):
            (cut.add if wanted else cut.discard)(vm)
        self.note("link", vm=vm, cut_to=to, cut_from=out, new_connections=new, store=store)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def silence(self, vm):
        """Nothing passes any more on the VM's open connections, and neither end is told."""
        concerned = [c for c in self.open if vm in c[:2]]
        for connection in concerned:
            connection[2][0] = True
        self.note("silent", vm=vm, connections=len(concerned))

    async def until_passes(self, source, target):
        while not self.passes(source, target):
            await self.changed.wait()

    async def until_store_passes(self, source, target):
        while {source, target} & self.cut_from_store and not self.passes(source, target):
            await self.changed.wait()

    async def stop(self):
        for server in self.servers:
            server.close()
        tasks = list(self.relaying)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def open_relay(self, reader, process):
        ip, port = self.addresses.relay(reader, process)

        async def serve(near_in, near_out):
            self.relaying.add(asyncio.current_task())
            try:
                await self._serve(reader, process, near_in, near_out)
            finally:
                self.relaying.discard(asyncio.current_task())

        self.servers.append(await asyncio.start_server(serve, ip, port, backlog=128))

    async def _serve(self, reader, process, near_in, near_out):
        vm = self.addresses.vm_of[process]
        far_out = None
        connection = [reader, vm, [False]]
        try:
            while {reader, vm} & self.refuses_new:
                await self.changed.wait()
            far_in, far_out = await asyncio.open_connection(*self.addresses.bound(process))
            self.open.append(connection)
            await asyncio.gather(self._pump(reader, vm, near_in, far_out, connection[2]),
                                 self._pump(vm, reader, far_in, near_out, connection[2]))
        except OSError:
            near_out.transport.abort()
            if far_out:
                far_out.transport.abort()
        except asyncio.CancelledError:
            pass
        finally:
            with contextlib.suppress(ValueError):
                self.open.remove(connection)
            for writer in filter(None, (near_out, far_out)):
                writer.close()

    async def _pump(self, source, target, data_in, data_out, silent):
        while True:
            data = await data_in.read(65536)
            if silent[0]:
                if not data:
                    return
                continue
            if delay := self.delay_s.get(source, 0) + self.delay_s.get(target, 0):
                await asyncio.sleep(delay)
            await self.until_passes(source, target)
            if not data:
                if data_out.can_write_eof():
                    data_out.write_eof()
                return
            data_out.write(self.addresses.as_seen_by(target, data))
            await data_out.drain()


async def read_message(reader):
    """Returns the words of the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (raw := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return line.decode("latin-1").split(), headers, await reader.readexactly(length) if length else b""


class HttpServer:
    """HTTP/1.1 with kept connections. A handler returns (status, JSON), or None: then nothing more is answered."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, address):
        self.server = await asyncio.start_server(self._serve, *address, backlog=256)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                (method, target, *_), headers, body = message
                reply = await self.handler(method, target, headers, body)
                if reply is None:
                    await reader.read()  # until the caller gives up
                    return
                status, content = reply
                if status == "reset":
                    writer.transport.abort()
                    return
                data = json.dumps(content).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\ncontent-type: application/json\r\n"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller has gone, or the test ends
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(address, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, JSON or None); (None, None) without a whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": "127.0.0.1", "Content-Type": "application/json", "Connection": "close",
                      "Content-Length": str(len(data)), **(headers or {})}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            message = await read_message(reader)
            if message is None:
                return None, None
            first, _, content = message
            with contextlib.suppress(ValueError):
                return int(first[1]), json.loads(content) if content else None
            return int(first[1]), None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's table service. Each VM calls it at an address of its own."""

    def __init__(self, addresses, network, note, rng):
        self.addresses, self.network, self.note, self.rng = addresses, network, note, rng
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []  # (version, time, place, value or None)
        self.version, self.forgotten = 1, 0
        self.changed = asyncio.Event()
        self.servers = {}
        self.is_down = False
        self.slow_s = 0.0
        self.lost_share = 0.0  # of the answers; half of these calls are carried out seconds later
        self.refuses = {}  # VM -> "busy", "reset" or "hang"
        self.calls = 0

    async def serve(self, vm, address):
        async def handler(method, target, _, body):
            return await self._handle(vm, method, target, body)

        self.servers[vm] = HttpServer(handler)
        await self.servers[vm].start(address)

    def put(self, key, value):
        """A write of the operator."""
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self._set(("op", "", key), text)
        self._wake()
        self.note("operator", key=key, version=(value or {}).get("version"))

    def forget(self):
        """Loses the history; those who follow a table must read it anew."""
        self.forgotten = self.version
        self.log.clear()
        self._wake()

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _set(self, place, value):
        if value is None:
            if self.rows.pop(place, None) is None:
                return
        else:
            self.rows[place] = (value, self.version)
        self.log.append((self.version, time.monotonic(), place, value))

    async def _handle(self, vm, method, target, body):
        self.calls += 1
        await self.network.until_store_passes(vm, None)
        refusal = "hang" if self.is_down else self.refuses.get(vm)
        if refusal == "reset":
            return "reset", None
        if refusal == "busy":
            return 503, {}
        if refusal == "hang":
            return None
        await asyncio.sleep(0.004 + self.slow_s)
        lost = self.rng.random() < self.lost_share
        if lost and self.rng.random() < 0.5:
            late_s = self.rng.uniform(0.5, 4)
            asyncio.get_running_loop().call_later(late_s, self._carry_out_late, vm, method, target, body)
            return None
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx" and method == "POST":
            out = self._transact(vm, json.loads(body))
        elif path == "/rows-get":
            out = self._get(vm, arguments)
        elif path == "/rows-feed":
            out = await self._feed(vm, arguments)
        else:
            return 404, {}
        await self.network.until_store_passes(None, vm)
        return None if lost or self.is_down else out

    def _carry_out_late(self, vm, method, target, body):
        if method == "POST" and target == "/rows-tx":
            status, _ = self._transact(vm, json.loads(body))
            self.note("store_late", vm=vm, status=status)

    def _answer(self, rows, **more):
        return {"rows": rows, "ver": self.version, "now_ms": int(time.monotonic() * 1000), **more}

    def _translated(self, reader, value):
        """The value with addresses as the reader sees them, or as they are bound for the reader None."""
        data = base64.b64decode(value)
        seen = self.addresses.as_seen_by(reader, data)
        return value if seen is data else base64.b64encode(seen).decode()

    def _row(self, vm, place, version, value):
        out = {"table": place[0], "part": place[1], "key": place[2], "ver": version}
        out.update({"removed": True} if value is None else {"value": self._translated(vm, value)})
        return out

    def _transact(self, vm, change):
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
        if any(self.rows.get(place(e), (None, 0))[1] != e["ver"] for e in expected):
            found = [place(e) for e in expected if place(e) in self.rows]
            return 412, self._answer([self._row(vm, p, self.rows[p][1], self.rows[p][0]) for p in found])
        self.version += 1
        for entry in upserts:
            self._set(place(entry), self._translated(None, entry["value"]))
        for entry in removed:
            self._set(place(entry), None)
        old = time.monotonic() - HISTORY_S
        while self.log and self.log[0][1] < old:
            self.forgotten = self.log.pop(0)[0]
        self._wake()
        return 200, self._answer([])

    def _get(self, vm, query):
        table, part = query["table"], query.get("part", "")
        found = sorted(p for p in self.rows if p[:2] == (table, part) and p[2] >= query.get("from", "")
                       and ("to" not in query or p[2] < query["to"]))
        limit = min(int(query.get("limit", 500)), 500)
        rows = [self._row(vm, p, self.rows[p][1], self.rows[p][0]) for p in found[:limit]]
        return 200, self._answer(rows, more_pages=len(found) > limit)

    async def _feed(self, vm, query):
        after, until = int(query["after"]), time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            rows = [self._row(vm, place, version, value) for version, _, place, value in self.log
                    if version > after and place[0] == query["table"]]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, self._answer(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)

    def stop(self):
        for server in self.servers.values():
            server.stop()


class Run:
    def __init__(self, task, number, step):
        self.task, self.number, self.step = task, number, step
        self.started = time.monotonic()
        self.stopping = None
        self.pace = 100


class Worker:
    """A worker. The job's `spec` says in JSON what each step's tasks do: `ms` of work, or `lasts`, the `cpu` and
    `mem_mb` that they use, and `serves` (tail latency alone, in ms), `fills` or the size of their `gang`."""

    def __init__(self, world, vm, name, app, control, zone, rack, cpu, mem_mb):
        self.world, self.vm, self.name, self.app, self.control = world, vm, name, app, control
        self.zone, self.rack, self.cpu, self.mem_mb = zone, rack, cpu, mem_mb
        self.http = None
        self.up = False
        self.lives = 0
        self.running, self.ended = {}, []
        # Faults.
        self.is_mute = False  # calls are neither carried out nor answered
        self.lose_answers = 0.0  # share of the calls that are carried out without an answer
        self.late_share = 0.0  # share of the calls that are carried out seconds later, without an answer
        self.beats = True

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    async def start(self):
        self.lives += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.token = self.until_ms = self.end_count = self.sequence = 0
        self.lapse_end = 0  # number of ends when the lease was last over
        self.running, self.highest, self.ended = {}, {}, []
        self.changed = asyncio.Event()
        self.http = HttpServer(self._handle)
        await self.http.start(self.app)
        self.up = True
        life = self.lives
        self.tasks = [asyncio.create_task(self._work(life)), asyncio.create_task(self._beat(life))]

    def crash(self):
        """All that runs is lost, and so are the ends that have not been acknowledged."""
        self.up = False
        self.http.stop()
        for task in self.tasks:
            task.cancel()
        for run in self.running.values():
            self.world.runs.lost(self, run)
            self.world.leave_gang(run, "broken")
        for _, task, _, how, _ in self.ended:
            if how == "done":
                self.world.runs.done_lost(self, task)
        self.running, self.ended = {}, []
        self.world.note("worker_crash", worker=self.name)

    async def _beat(self, life):
        await asyncio.sleep(self.world.rng.uniform(0, 0.3))
        while self.up and self.lives == life:
            status = None
            if self.beats:
                self.sequence += 1
                status, _ = await call(self.control, "PUT", f"/instances/{self.name}", body={
                    "service": "app-0", "address": f"{self.app[0]}:{self.app[1]}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpu": 0}, "labels": ["a", self.rack],
                    "clock_ms": self.clock_ms(), "sequence": self.sequence, "born": self.born}, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.3)

    async def _work(self, life):
        while self.up and self.lives == life:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.clock_ms() > self.until_ms:
                self.lapse_end = self.end_count
                for task in list(self.running):
                    self._end(task, "lapsed")
            for task, run in list(self.running.items()):
                if run.stopping and now >= run.stopping:
                    self._end(task, "stopped")
                elif not run.stopping and run.step.get("gang"):
                    self._work_in_gang(task, run, now)
                elif not run.stopping and not run.step.get("lasts") and now - run.started >= run.step["ms"] / 1000:
                    self._end(task, "done")

    def _work_in_gang(self, task, run, now):
        gang = self.world.gang(run)
        if gang["over"]:
            self._end(task, "done" if gang["over"] == "done" else "broken")
        elif gang["began"] is None:
            if len(gang["members"]) == run.step["gang"]:
                gang["began"] = now
            elif now - run.started > GANG_TIMEOUT_S:
                self._end(task, "alone")
        elif now - gang["began"] >= run.step["ms"] / 1000:
            self._end(task, "done")

    def _end(self, task, how):
        run = self.running.pop(task)
        self.end_count += 1
        self.ended.append([self.end_count, task, run.number, how, ""])
        self.highest[task] = max(run.number, self.highest.get(task, 0))
        self.world.runs.ended(self, run, how)
        self.world.leave_gang(run, how)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def in_use(self, name):
        """Of the running tasks' `cpu`, without those that fill, or of their `mem_mb`."""
        return sum(run.step[name] for run in self.running.values() if name != "cpu" or not run.step.get("fills"))

    def filler_cpu(self):
        return sum(run.step["cpu"] * run.pace / 100 for run in self.running.values() if run.step.get("fills"))

    async def _handle(self, _, target, headers, body):
        path, body = target.partition("?")[0], json.loads(body or b"{}")
        if self.is_mute:
            return None
        await asyncio.sleep(0.002)
        if path != "/hold" and self.world.rng.random() < self.late_share:
            late_s = self.world.rng.uniform(0.5, 5)
            asyncio.get_running_loop().call_later(late_s, self._carry_out_late, self.lives, path, headers, body)
            return None
        out = await self._carry_out(path, headers, body)
        return None if self.is_mute or self.world.rng.random() < self.lose_answers else out

    def _carry_out_late(self, life, path, headers, body):
        if self.up and self.lives == life:
            asyncio.ensure_future(self._carry_out(path, headers, body))

    async def _carry_out(self, path, headers, body):
        base = {"clock_ms": self.clock_ms(), "born": self.born}
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, base
        if body.get("fencing_token", 0) < self.token:
            return 409, {**base, "reason": "fence"}
        self.token = max(self.token, body.get("fencing_token", 0))
        if path == "/run-start":
            status, reason = self._start(body)
            return status, {**base, **({"reason": reason} if reason else {})}
        if path == "/run-stop":
            task, number = body["task"], body["run"]
            at = self.running.get(task)
            if at and at.number == number:
                at.stopping = at.stopping or time.monotonic() + STOP_S
            self.highest[task] = max(number, self.highest.get(task, 0))
            return 200, base
        if path == "/pace":
            at = self.running.get(body["task"])
            if at and at.number == body["run"]:
                at.pace = body["percent"]
            return 200, base
        return await self._hold(body) if path == "/hold" else (404, base)

    def _extend(self, until_ms):
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + HOLD_MAX_MS))

    def _start(self, body):
        task, number = body["task"], body["run"]
        if body["until_ms"] <= self.clock_ms():
            return 409, "late"
        self._extend(body["until_ms"])
        at = self.running.get(task)
        if at and at.number == number:
            return 200, None
        if number <= self.highest.get(task, 0) or (at and number <= at.number):
            return 409, "old"
        if at:
            return 409, "room"
        run = Run(task, number, json.loads(body["spec"])[int(task.split(".")[2])])
        self.running[task] = run
        self.world.runs.started(self, run)
        if run.step.get("gang"):
            self.world.gang(run)["members"].add(task)
        return 200, None

    async def _hold(self, body):
        cursor = body.get("ack_cursor", 0)
        for number, task, _, how, _ in self.ended:
            if number <= cursor and how == "done":
                self.world.runs.acknowledged(self, task, lapsed=number <= self.lapse_end)
        self.ended = [end for end in self.ended if end[0] > cursor]
        if body.get("until_ms"):
            self._extend(body["until_ms"])
        if not self.ended and body.get("wait_ms"):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), min(body["wait_ms"], 2000) / 1000)
        now = time.monotonic()
        fillers = self.filler_cpu()
        running = []
        for task, run in self.running.items():
            age = now - run.started
            if run.step.get("lasts"):
                percent = 100 if age >= STARTUP_S else 0
            else:
                percent = min(99, int(100000 * age / run.step["ms"]))
            tail = run.step.get("serves")
            load = int(tail + fillers / 1000 * run.step.get("harm", 0)) if tail else run.step["cpu"] * run.pace // 100
            running.append([task, run.number, "", percent, load])
        return 200, {"clock_ms": self.clock_ms(), "born": self.born, "running": running, "ended": self.ended[:500]}
