"""Stand-ins for the platform's store, its workers and callers, on loopback.

Follows PROTOCOL.md. Runs in one event loop; gateways and runners are separate
processes with the commands of the deploy file.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "chiveglade")
REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 409: "Conflict",
           410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 503: "Service Unavailable"}


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


def free_ports(count):
    held = []
    for _ in range(count):
        s = socket.socket()
        s.bind(("127.0.0.1", 0))
        held.append(s)
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


async def read_message(reader):
    """Returns the first line, the headers and the body; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        raw = await reader.readline()
        if raw in (b"\r\n", b"\n", b""):
            break
        name, _, value = raw.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return line.decode("latin-1").split(), headers, body


class Http:
    """HTTP/1.1 server with kept connections. A handler returns (status, body),
    or None for a request that never gets an answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.writers = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                (method, target, *_), headers, body = message
                reply = await self.handler(method, target, headers, body)
                if reply is None:
                    await asyncio.sleep(3600)
                status, content = reply
                data = json.dumps(content).encode()
                writer.write((f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
                              "content-type: application/json\r\n"
                              f"content-length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass  # cancelled at the end of the run only
        finally:
            self.writers.discard(writer)
            writer.close()

    async def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port, method, path, headers=None, body=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, JSON or None);
    (None, None) if there was no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": "127.0.0.1", "Content-Type": "application/json",
                      "Connection": "close", "Content-Length": str(len(data))}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None, None
            first, _, content = message
            try:
                return int(first[1]), json.loads(content) if content else None
            except ValueError:
                return int(first[1]), None
    except (OSError, asyncio.TimeoutError, TimeoutError, asyncio.IncompleteReadError):
        return None, None
    finally:
        if writer:
            writer.close()


class Store:
    """The platform's metadata store: rows-tx, rows-get, rows-feed."""

    def __init__(self, world):
        self.world = world
        self.rows = {}  # (table, part, key) -> (value, ver)
        self.log = []  # (ver, table, part, key, value or None)
        self.ver = 0
        self.busy_until = {}  # by part
        self.changed = asyncio.Event()
        self.http = Http(self.handle)

    def put(self, table, part, key, value):
        """A write of the operator."""
        self.ver += 1
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, self.ver)
        self.log.append((self.ver, table, part, key, value))
        self._wake()
        return self.ver

    def _wake(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def _now():
        return int(time.monotonic() * 1000)

    @staticmethod
    def _row(at, value, ver):
        return {"table": at[0], "part": at[1], "key": at[2], "value": value, "ver": ver}

    async def handle(self, method, target, headers, body):
        path, _, query = target.partition("?")
        args = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/rows-tx" and method == "POST":
            tx = json.loads(body)
            entries = tx.get("upserts", []) + tx.get("remove", []) + tx.get("expected", [])
            part = entries[0].get("part", "") if entries else ""
            # A part carries out one transaction after another.
            begin = max(time.monotonic(), self.busy_until.get(part, 0))
            self.busy_until[part] = begin + 0.004
            await asyncio.sleep(begin + 0.004 - time.monotonic())
            return self._transact(tx)
        if path == "/rows-get":
            await asyncio.sleep(0.002)
            return self._get(args)
        if path == "/rows-feed":
            return await self._feed(args)
        return 404, {}

    def _transact(self, tx):
        def at(entry):
            return (entry["table"], entry.get("part", ""), entry["key"])

        for entry in tx.get("upserts", []) + tx.get("remove", []):
            if entry["table"] in ("op", "servers"):
                return 403, {}
        for entry in tx.get("expected", []):
            if self.rows.get(at(entry), (None, 0))[1] != entry["ver"]:
                found = [self._row(at(e), *self.rows[at(e)]) for e in tx["expected"] if at(e) in self.rows]
                return 412, {"rows": found, "ver": self.ver, "now_ms": self._now()}
        self.ver += 1
        for entry in tx.get("upserts", []):
            self.rows[at(entry)] = (entry["value"], self.ver)
            self.log.append((self.ver, *at(entry), entry["value"]))
        for entry in tx.get("remove", []):
            if self.rows.pop(at(entry), None):
                self.log.append((self.ver, *at(entry), None))
        self._wake()
        return 200, {"ver": self.ver, "now_ms": self._now()}

    def _get(self, args):
        table, part = args["table"], args.get("part", "")
        low, high = args.get("from", ""), args.get("to")
        limit = min(int(args.get("limit", 500)), 500)
        keys = sorted(k for (t, p, k) in self.rows if t == table and p == part and k >= low
                      and (high is None or k < high))
        rows = [self._row((table, part, k), *self.rows[(table, part, k)]) for k in keys[:limit]]
        return 200, {"rows": rows, "more_pages": len(keys) > limit, "ver": self.ver, "now_ms": self._now()}

    async def _feed(self, args):
        table, after = args["table"], int(args["after"])
        until = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
        while True:
            rows = []
            for ver, t, part, key, value in self.log:
                if ver > after and t == table:
                    row = {"table": t, "part": part, "key": key, "ver": ver}
                    row.update({"removed": True} if value is None else {"value": value})
                    rows.append(row)
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self._now()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass


class Proxy:
    """TCP proxy whose open connections can be made silent: nothing passes on
    them any more, and neither side is told. New connections work."""

    def __init__(self, target):
        self.target = target
        self.open = {}  # id -> [silenced] of the open connections
        self.server = None
        self.count = 0

    async def start(self, port):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)

    async def _serve(self, reader, writer):
        self.count += 1
        try:
            out_reader, out_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()  # refused
            return
        cell = [False]
        self.open[id(cell)] = cell

        async def pump(source, sink):
            while True:
                data = await source.read(65536)
                if cell[0]:
                    if not data:
                        return  # the end is not passed on either
                    continue
                if not data:
                    break
                sink.write(data)
                await sink.drain()
            sink.close()

        try:
            await asyncio.gather(pump(reader, out_writer), pump(out_reader, writer))
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.pop(id(cell), None)
            if not cell[0]:
                writer.close()
                out_writer.close()

    def silence(self):
        """Returns how many connections it concerns."""
        for cell in self.open.values():
            cell[0] = True
        return len(self.open)

    async def stop(self):
        if self.server:
            self.server.close()


class Run:
    def __init__(self, task, number, spec, started):
        self.task, self.number, self.spec, self.started = task, number, spec, started
        self.saved = ""
        self.percent = 0
        self.timer = None
        self.pace = 100
        self.worked_s = 0.0
        self.saver = None


class Worker:
    """A worker. What a task does stands in the job's `spec`, a JSON object:
    `ms` by step number, `lasts` for steps that last; where it matters also `cpu`,
    `fills`, `serves` and `saves`."""

    HOLD_MAX_MS = 6000
    own_tail_ms = 20  # of a task that serves, without tasks that fill
    tail_ms_per_core = 10  # what a task that fills adds

    def __init__(self, world, name, port, beat_port, service, zone, rack, cpu, mem):
        self.world, self.name, self.port, self.beat_port = world, name, port, beat_port
        self.service, self.zone, self.rack, self.cpu, self.mem = service, zone, rack, cpu, mem
        self.http = Http(self.handle)
        self.up = False
        self.sequence = 0
        self.answers = lambda path: True  # whether a call is answered and carried out
        self.start_refusal = None  # status for /run-start while unhealthy
        self.life = 0

    async def begin(self):
        self.life += 1
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.until = 0
        self.token = 0
        self.running = {}
        self.ended = []
        self.end_count = 0
        self.highest = {}  # task -> highest run that ended or was stopped
        self.changed = asyncio.Event()
        self.sequence = 0
        self.instance = f"i-{self.name}-{self.life}"
        self.up = True
        await self.http.start(self.port)
        self.lapse_task = asyncio.create_task(self._watch_lease(self.life))
        self.beat_task = asyncio.create_task(self._beat(self.life))
        self.world.note("worker_up", worker=self.name)

    def crash_dark(self, dark_s):
        """Is lost for good: nothing runs, and nobody is answered any more. After
        `dark_s` open connections are reset and new ones are refused."""
        for key in list(self.running):
            run = self.running.pop(key)
            if run.timer:
                run.timer.cancel()
            self.world.note("run_lost", worker=self.name, task=run.task, run=run.number)
            self.world.leave_gang(run, "lost")
        self.up = False
        self.answers = lambda path: False
        self.http.server.close()
        # New connections hang: a listener whose queue is full.
        self.dark = [socket.socket()]
        self.dark[0].setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.dark[0].bind(("127.0.0.1", self.port))
        self.dark[0].listen(0)
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.dark.append(filler)
        self.world.note("worker_dark", worker=self.name)
        asyncio.get_running_loop().call_later(dark_s, self._end_dark)

    def _end_dark(self):
        for held in self.dark:
            held.close()
        self.dark = []
        for writer in list(self.http.writers):
            writer.transport.abort()
        self.world.note("worker_refuses", worker=self.name)

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    async def _beat(self, life):
        while self.up and self.life == life:
            self.sequence += 1
            await call(self.beat_port, "PUT", f"/instances/{self.instance}", body={
                "service": self.service, "address": f"127.0.0.1:{self.port}", "zone": self.zone,
                "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
                "labels": ["a", self.rack], "clock_ms": self.clock(), "born": self.born,
                "sequence": self.sequence}, timeout=1.0)
            await asyncio.sleep(1.5)

    async def _watch_lease(self, life):
        while self.up and self.life == life:
            if self.running and self.clock() >= self.until:
                for key in list(self.running):
                    self._end(key, "lapsed")
            await asyncio.sleep(0.005)

    def _end(self, key, how):
        run = self.running.pop(key)
        if run.timer:
            run.timer.cancel()
        if run.saver:
            run.saver.cancel()
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, run.saved])
        self.world.note("run_end", worker=self.name, task=run.task, run=run.number, how=how,
                        percent=run.percent, saved=run.saved)
        self.world.leave_gang(run, how)
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _work(self, run, key):
        job, _, step, _ = run.task.split(".")
        spec = json.loads(run.spec)
        run.step = {name: values[int(step)] for name, values in spec.items()}
        loop = asyncio.get_running_loop()
        if run.step.get("saves") and not run.step.get("gang"):
            def save():
                # A new checkpoint with each save_s (1 s) of work.
                before = int(run.worked_s)
                run.worked_s += 0.1 * run.pace / 100
                if int(run.worked_s) > before:
                    run.saved = f"{int(run.worked_s) * 1000:08x}{job[4:12]}"
                run.saver = loop.call_later(0.1, save)
            save()
        if run.step.get("gang"):
            self.world.join_gang(self, run, key)
        elif spec["lasts"][int(step)]:
            def at_work():
                run.percent = 100
                self.world.note("at_work", worker=self.name, task=run.task, run=run.number)
            # A short startup, and restore_ms from a checkpoint.
            run.timer = loop.call_later(1.0 if run.saved else 0.4, at_work)
        else:
            length = spec["ms"][int(step)] / 1000

            def tick():
                run.percent = min(99, int(100 * (time.monotonic() - run.started) / length))
                if time.monotonic() - run.started >= length:
                    if self.running.get(key) is run:
                        run.percent = 100
                        self._end(key, "done")
                    return
                run.timer = loop.call_later(0.05, tick)
            tick()

    async def handle(self, method, target, headers, body):
        path = target.partition("?")[0]
        reply = await self._carry_out(path, headers, body) if self.answers(path) else None
        return reply if self.answers(path) else None

    async def _carry_out(self, path, headers, body):
        await asyncio.sleep(0.008)
        wanted = headers.get("x-expect-instance")
        if wanted and wanted != self.instance:
            return 421, {}
        args = json.loads(body) if body else {}
        clock = self.clock()
        if args.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": clock, "reason": "fence"}
        if path == "/run-start" and self.start_refusal:
            return self.start_refusal, {}
        self.token = max(self.token, args.get("fencing_token", 0))
        if path == "/run-start":
            return self._start(args, clock)
        if path == "/run-stop":
            key = (args["task"], args["run"])
            if key in self.running:
                self._end(key, "stopped")
            self.highest[args["task"]] = max(self.highest.get(args["task"], 0), args["run"])
            return 200, {"clock_ms": self.clock()}
        if path == "/pace":
            run = self.running.get((args["task"], args["run"]))
            if run:
                asyncio.get_running_loop().call_later(0.1, setattr, run, "pace", args["percent"])
            return 200, {"clock_ms": clock}
        if path == "/hold":
            self.world.note("hold", worker=self.name, until_in=args.get("until_ms", 0) - clock)
            return await self._hold(args)
        return 404, {}

    def _cpu_in_use(self, run):
        return int(run.step.get("cpu", 0) * run.pace / 100)

    def _figure(self, run):
        """The tail latency of a task that serves, else the cpu in use."""
        if not run.step.get("serves"):
            return self._cpu_in_use(run)
        filling = sum(self._cpu_in_use(r) for r in self.running.values() if r.step.get("fills"))
        return int(self.own_tail_ms + self.tail_ms_per_core * filling / 1000)

    def _extend(self, until, clock):
        self.until = max(self.until, min(until, clock + self.HOLD_MAX_MS))

    def _start(self, args, clock):
        key = (args["task"], args["run"])
        until = args["until_ms"]
        if until <= clock:
            return 409, {"clock_ms": clock, "reason": "late"}
        self._extend(until, clock)
        if key in self.running:
            return 200, {"clock_ms": clock}
        if args["run"] <= self.highest.get(args["task"], 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        run = Run(args["task"], args["run"], args["spec"], time.monotonic())
        run.saved = args.get("last_checkpoint", "")
        self.running[key] = run
        self.world.note("run_start", worker=self.name, task=run.task, run=run.number, resumes=run.saved)
        self._work(run, key)
        return 200, {"clock_ms": clock}

    async def _hold(self, args):
        if "until_ms" in args:
            self._extend(args["until_ms"], self.clock())
        cursor = args.get("ack_cursor", 0)
        self.ended = [e for e in self.ended if e[0] > cursor]
        if args.get("wait_ms") and not self.ended:
            try:
                await asyncio.wait_for(self.changed.wait(), args["wait_ms"] / 1000)
            except (asyncio.TimeoutError, TimeoutError):
                pass
        running = [[r.task, r.number, r.saved, r.percent, self._figure(r)] for r in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running,
                     "ended": self.ended[:500]}


class World:
    """A small deployment: gateways, runners with their workers, and the store."""

    def __init__(self, folder, queues, gateways=2, workers=3, cpu=16000, proxied=False):
        self.folder = folder
        self.queues = queues  # name -> prefix and policy
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()
        self.events = []
        self.processes = []
        self.temp = tempfile.mkdtemp(prefix="chiveglade-review-")
        self.counts = (gateways, workers)
        self.cpu = cpu
        self.proxied = proxied
        self.proxies = []
        self.rng = random.Random(41)
        self.gangs = {}  # (step, run) -> task -> member

    def now(self):
        return time.monotonic() - self.began

    def note(self, event, **fields):
        at = self.now()
        self.events.append((at, event, fields))
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{at:8.3f} {event} {text}\n")

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is missing: run the build of the deploy file")
        gateways, workers = self.counts
        ports = iter(free_ports(2 + gateways * 4 + workers * 5))
        self.store = Store(self)
        self.store_port = next(ports)
        await self.store.http.start(self.store_port)
        via_store = next(ports)
        self.store_proxy = Proxy(self.store_port)
        if self.proxied:
            await self.store_proxy.start(via_store)
            self.store_port = via_store
        self.write_config(1)
        self.fronts, self.readies = [], []
        for n in range(gateways):
            front, ready, peer, metrics = (next(ports) for _ in range(4))
            self.fronts.append(front)
            self.readies.append(ready)
            self.launch("gateway", f"edge-{n}", {
                "name": f"edge-{n}", "data_centre": f"z{n % 3}",
                "caller_listen": f"127.0.0.1:{front}", "ready_listen": f"127.0.0.1:{ready}",
                "peer_listen": f"127.0.0.1:{peer}", "metrics_listen": f"127.0.0.1:{metrics}",
                "processor_share": 0.25, "processor_speed": 1, "link_mbps": 1000.0,
                "settings_max_age_ms": 2000, "max_row_bytes": 65536,
                "store": [f"127.0.0.1:{self.store_port}"]})
        self.workers = []
        for n in range(workers):
            app, via, beat, peer, metrics = (next(ports) for _ in range(5))
            worker = Worker(self, f"w{n}", app, beat, "app-0", f"z{n % 3}", f"r{n % 3}",
                            self.cpu, 64000)
            self.workers.append(worker)
            if self.proxied:
                proxy = Proxy(app)
                await proxy.start(via)
                self.proxies.append(proxy)
            self.launch("runner", f"side-{n}", {
                "vm": f"side-{n}", "data_centre": f"z{n % 3}",
                "worker_listen": f"127.0.0.1:{beat}",
                "worker": f"127.0.0.1:{via if self.proxied else app}",
                "peer_listen": f"127.0.0.1:{peer}", "metrics_listen": f"127.0.0.1:{metrics}",
                "store": [f"127.0.0.1:{self.store_port}"], "worker_lease_ms": 6000})
        for worker in self.workers:
            await worker.begin()
            await asyncio.sleep(1 / workers)  # workers don't all call at the same moment
        await self.until_ready()

    def write_config(self, version):
        routes = [{"name": name, "host": "jobs.example", "prefix": q["prefix"],
                   "kind": "non_idempotent", "timeout_ms": 3000,
                   "target_latency_ms": q.get("target_latency_ms", 1000),
                   "priority": q.get("priority", 0), "service": "app-0",
                   "attempts": q.get("attempts", 2), "stretch": q.get("stretch", 2.0)}
                  for name, q in self.queues.items()]
        value = {"version": version, "routes": routes,
                 "services": [{"name": "app-0", "health_path": "/healthz", "max_conns": 64,
                               "protocol": "h1", "tls": False, "enforces_capacity": False,
                               "headroom": False}],
                 "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                            "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.store.put("op", "", "config", base64.b64encode(json.dumps(value).encode()).decode())

    def launch(self, role, name, settings):
        path = os.path.join(self.temp, name + ".json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        log = open(os.path.join(self.temp, name + ".log"), "ab")
        process = subprocess.Popen([PROGRAM, role, path], stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL, cwd=ROOT)
        log.close()
        process.role, process.name, process.settings = role, name, settings
        self.processes.append(process)
        self.note("process_started", role=role, name=name)
        return process

    async def until_ready(self):
        for _ in range(200):
            states = [(await call(port, "GET", "/readyz", timeout=1.0))[0] for port in self.readies]
            if all(state == 200 for state in states):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the gateways did not become ready")

    async def stop(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except OSError:
                    pass
        for process in self.processes:
            process.wait()
        for worker in getattr(self, "workers", []):
            worker.up = False
            await worker.http.stop()
            for held in getattr(worker, "dark", []):
                held.close()
        for proxy in self.proxies + ([self.store_proxy] if hasattr(self, "store_proxy") else []):
            await proxy.stop()
        if hasattr(self, "store"):
            await self.store.http.stop()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.temp, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    # Gangs: the members of one run work only together, from when all are there.

    def join_gang(self, worker, run, key):
        name = (run.task.rpartition(".")[0], run.number)
        members = self.gangs.setdefault(name, {})
        members[run.task] = (worker, run, key)
        if len(members) == run.step["gang"]:
            self.note("gang_works", step=name[0], run=run.number)
            asyncio.create_task(self._work_gang(name, run.step["ms"] / 1000))

    def leave_gang(self, run, how):
        if not run.step.get("gang"):
            return
        members = self.gangs.pop((run.task.rpartition(".")[0], run.number), {})
        members.pop(run.task, None)
        for worker, other, key in list(members.values()):
            if key in worker.running:
                worker._end(key, "done" if how == "done" else "broken")

    async def _work_gang(self, name, length):
        began = time.monotonic()
        while name in self.gangs:
            worked = time.monotonic() - began
            for _, run, _ in self.gangs[name].values():
                run.percent = min(99, int(100 * worked / length))
                if run.step.get("saves") and worked >= 1:
                    run.saved = f"{int(worked) * 1000:08x}{run.task[4:12]}"
            if worked >= length:
                worker, _, key = next(iter(self.gangs[name].values()))
                worker._end(key, "done")
                return
            await asyncio.sleep(0.02)

    # Callers.

    def new_id(self):
        return f"{random.getrandbits(64):016x}"

    async def submit(self, queue, steps, spec, gateway=None, job=None, **more):
        """Hands a job in, with up to four retries. Returns its ID if a 2xx came."""
        job = job or self.new_id()
        path = self.queues[queue]["prefix"] + job
        body = {"spec": json.dumps(spec), "steps": steps, **more}
        for attempt in range(5):
            port = self.fronts[(gateway if gateway is not None else self.rng.randrange(len(self.fronts)))
                               % len(self.fronts)]
            status, _ = await call(port, "POST", path, {"Host": "jobs.example", "X-Deadline-Ms": "3000"}, body)
            self.note("submit", job=job, queue=queue, status=status)
            if status and 200 <= status < 300:
                return job
            await asyncio.sleep(0.2)
        return None

    async def request(self, method, queue, job="", gateway=0):
        status, content = await call(self.fronts[gateway % len(self.fronts)], method,
                                     self.queues[queue]["prefix"] + job,
                                     {"Host": "jobs.example", "X-Deadline-Ms": "3000"})
        self.note("request", method=method, queue=queue, job=job, gateway=gateway, status=status,
                  content=json.dumps(content))
        return status, content

    def job_starts(self, job):
        return [(at, f) for at, event, f in self.events
                if event == "run_start" and f["task"].startswith(job + ".")]


def main(folder, play, **options):
    """Runs `play(world)`, which returns (broken, text). Exit: 1 broken, 0 held, 2 could not run."""
    async def whole():
        world = World(folder, **options)
        try:
            async with asyncio.timeout(110):
                await world.start()
                return await play(world), world
        finally:
            await world.stop()

    try:
        (broken, text), world = asyncio.run(whole())
    except (CannotRun, TimeoutError, OSError) as error:
        print(f"could not run: {error!r}")
        raise SystemExit(2)
    verdict = "BROKEN" if broken else "HELD"
    world.record.write(f"{verdict}: {text}\n")
    world.record.close()
    print(f"{verdict}: {text}")
    raise SystemExit(1 if broken else 0)
