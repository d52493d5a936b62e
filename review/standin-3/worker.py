"""A worker as PROTOCOL.md describes it ("Running tasks", "Service discovery"), on loopback addresses.

Keeps its orders to the letter: the highest fencing token, leases on its own steady clock, stops that void later starts,
ends that are listed until they are acknowledged. `restart()` is a crash and a new life at the same address. `outcome`
may be set to a function of (task, run) that gives how a run ends ("done" or "failed") and after how many seconds of
work; by default each run is done after the number of milliseconds that its spec begins with.
"""

import http.client
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOLD_MAX_MS = 6000
STOP_S = 0.05
GANG_TIMEOUT_S = 3.0


class Life:
    """What a worker holds and knows between a start and a crash."""

    def __init__(self, born):
        self.born = born
        self.began = time.monotonic()
        self.sequence = 0
        self.token = 0
        self.until_ms = 0
        self.running = {}  # task -> {"run", "started", "stopping"}
        self.highest = {}  # task -> highest run that was stopped or has ended here
        self.ended = []  # [number, task, run, how, checkpoint]
        self.ends = 0
        self.ends_before_lapse = 0  # ends that were listed when the lease was last over

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000


class Worker:
    def __init__(self, name, app, control, record, *, zone="z0", rack="r0", cpu=16000, mem_mb=64000, unix_ms=None,
                 service="app-0"):
        self.name, self.record, self.zone, self.rack = name, record, zone, rack
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.service = service
        self.app, self.control = app, control
        # The time of day of this VM.
        self.unix_ms = unix_ms or (lambda: int(time.time() * 1000))
        self.outcome = self._by_spec
        self.changed = threading.Condition()
        self.starts = []  # (time, task, run, token, life)
        self.runs = []  # [task, begin, end or None], in all lives
        self.done = []  # (time, task, run)
        self.acknowledged = []  # the same, for ends `done` that the cursor has reached; not those before a lapse
        self.specs = {}
        self.life = None
        self.server = None
        self.gangs = {}  # shared by the workers: (job.K.step, run) -> {"size", "present": {task: life}, "began", "over"}
        self.gang_sizes = {}  # shared: job.K.step -> members
        self.stopped = False
        self.state = "ready"
        self.last_beat = None
        self.first_beat_s = 0.0  # between the opening of the port and the first heartbeat

    def _by_spec(self, task, run):
        return "done", int(self.specs[task].split(" ")[0]) / 1000

    # Lives.

    def start(self):
        with self.changed:
            self.life = Life(self.unix_ms())
            life = self.life
        self.record(self.name, f"starts, born {life.born}")
        self.server = Server(self.app, Handler)
        self.server.worker = self
        threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True).start()
        threading.Thread(target=self._beat, args=(life,), daemon=True).start()
        threading.Thread(target=self._work, args=(life,), daemon=True).start()

    def crash(self):
        """All that runs is lost, and the port refuses."""
        with self.changed:
            life, self.life = self.life, None
            self.changed.notify_all()
        self.server.shutdown()
        self.server.server_close()
        self.server.drop()
        for task, run in life.running.items():
            run["entry"][2] = time.monotonic()
            gang = self._gang(task, run["run"])
            if gang is not None:
                gang["over"] = gang["over"] or "broken"
        self.record(self.name, f"crashes; ran {[(t, r['run']) for t, r in life.running.items()]}")

    def stop(self):
        self.stopped = True
        if self.life:
            self.crash()

    def _beat(self, life):
        time.sleep(self.first_beat_s)
        while not self.stopped and self.life is life:
            with self.changed:
                life.sequence += 1
                body = {"service": self.service, "address": f"{self.app[0]}:{self.app[1]}", "zone": self.zone,
                        "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                        "capacity": self.capacity, "labels": ["a", self.rack], "clock_ms": life.clock_ms(),
                        "sequence": life.sequence, "born": life.born}
            try:
                connection = http.client.HTTPConnection(*self.control, timeout=1)
                connection.request("PUT", f"/instances/{self.name}", json.dumps(body),
                                   {"Content-Type": "application/json"})
                status = connection.getresponse().status
                connection.close()
            except (OSError, http.client.HTTPException) as error:
                status = type(error).__name__
            if status != self.last_beat:
                self.record(self.name, f"heartbeat {life.sequence} born {life.born}: {status}")
                self.last_beat = status
            time.sleep(1.5 if status == 200 else 0.3)

    def _work(self, life):
        while not self.stopped and self.life is life:
            time.sleep(0.01)
            with self.changed:
                if self.life is not life:
                    return
                now = time.monotonic()
                if life.clock_ms() > life.until_ms:
                    life.ends_before_lapse = life.ends
                    for task in list(life.running):
                        self._end(life, task, "lapsed")
                for task, run in list(life.running.items()):
                    if run["stopping"] and now >= run["stopping"]:
                        self._end(life, task, "stopped")
                    elif not run["stopping"]:
                        self._progress(life, task, run, now)

    def _gang(self, task, run):
        step = task.rpartition(".")[0]
        if step not in self.gang_sizes:
            return None
        return self.gangs.setdefault((step, run), {"present": {}, "began": None, "over": None})

    def _progress(self, life, task, run, now):
        """Ends a run whose time has come. The members of a gang work from the moment when all are present."""
        how, length = self.outcome(task, run["run"])
        gang = self._gang(task, run["run"])
        if gang is None:
            if length is not None and now - run["started"] >= length:
                self._end(life, task, how)
            return
        size = self.gang_sizes[task.rpartition(".")[0]]
        if gang["over"]:
            self._end(life, task, "done" if gang["over"] == "done" else "broken")
        elif gang["began"] is None:
            if len(gang["present"]) == size:
                gang["began"] = now
            elif now - run["started"] > GANG_TIMEOUT_S:
                self._end(life, task, "alone")
        elif length is not None and now - gang["began"] >= length:
            self._end(life, task, how)

    def _end(self, life, task, how):
        over = life.running.pop(task)
        run, over["entry"][2] = over["run"], time.monotonic()
        if how == "done":
            self.done.append((time.monotonic(), task, run))
        gang = self._gang(task, run)
        if gang is not None and not gang["over"]:
            gang["over"] = how
        life.ends += 1
        life.ended.append([life.ends, task, run, how, ""])
        life.highest[task] = max(run, life.highest.get(task, 0))
        self.record(self.name, f"end {life.ends}: {task} run {run} {how}")
        self.changed.notify_all()

    # Calls. Each is made with `changed` held, on the life that serves the call.

    def call(self, path, body, instance):
        with self.changed:
            life = self.life
            if life is None:
                return None
            base = {"clock_ms": life.clock_ms(), "born": life.born}
            if instance and instance != self.name:
                return 421, base
            token = body.get("fencing_token", 0)
            if token < life.token:
                return 409, {**base, "reason": "fence"}
            life.token = token
            calls = {"/run-start": self._run_start, "/run-stop": self._run_stop, "/hold": self._hold,
                     "/pace": lambda *_: (200, {})}
            if path not in calls:
                return 404, base
            out = calls[path](life, body)
            if out is None or self.life is not life:
                return None
            status, more = out
            return status, {"clock_ms": life.clock_ms(), "born": life.born, **more}

    @staticmethod
    def _extend(life, until_ms):
        life.until_ms = max(life.until_ms, min(until_ms, life.clock_ms() + HOLD_MAX_MS))

    def _run_start(self, life, body):
        task, run = body["task"], body["run"]
        if body["until_ms"] <= life.clock_ms():
            return 409, {"reason": "late"}
        at = life.running.get(task)
        if at and at["run"] == run:
            self._extend(life, body["until_ms"])
            return 200, {}
        if run <= life.highest.get(task, 0) or (at and run <= at["run"]):
            self._extend(life, body["until_ms"])
            return 409, {"reason": "old"}
        if at:
            return 409, {"reason": "room"}
        self._extend(life, body["until_ms"])
        self.specs[task] = body["spec"]
        gang = self._gang(task, run)
        if gang is not None:
            gang["present"][task] = life
        entry = [task, time.monotonic(), None]
        self.runs.append(entry)
        life.running[task] = {"run": run, "started": entry[1], "stopping": None, "entry": entry}
        self.starts.append((time.monotonic(), task, run, body.get("fencing_token", 0), life.born))
        self.record(self.name, f"start {task} run {run} token {body.get('fencing_token', 0)}")
        return 200, {}

    def _run_stop(self, life, body):
        task, run = body["task"], body["run"]
        at = life.running.get(task)
        if at and at["run"] == run:
            at["stopping"] = at["stopping"] or time.monotonic() + STOP_S
        life.highest[task] = max(run, life.highest.get(task, 0))
        self.record(self.name, f"stop {task} run {run}")
        return 200, {}

    def _hold(self, life, body):
        cursor = body.get("ack_cursor", 0)
        for number, task, run, how, _ in [end for end in life.ended if end[0] <= cursor]:
            lapsed = ", after its lease had lapsed" if number <= life.ends_before_lapse else ""
            self.record(self.name, f"acknowledged {number}: {task} run {run} {how}{lapsed}")
            if how == "done" and not lapsed:
                self.acknowledged.append((time.monotonic(), task, run))
        life.ended = [end for end in life.ended if end[0] > cursor]
        if body.get("until_ms"):
            self._extend(life, body["until_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not life.ended and self.life is life and time.monotonic() < until:
            self.changed.wait(until - time.monotonic())
        if self.life is not life:
            return None
        now = time.monotonic()
        running = []
        for task, run in life.running.items():
            length = self.outcome(task, run["run"])[1]
            share = 0 if length is None else min(99, int(100 * (now - run["started"]) / max(length, 0.001)))
            running.append([task, run["run"], "", share, 0])
        return 200, {"running": running, "ended": life.ended[:500]}


class Server(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, *arguments):
        self.open = set()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open.discard(request)
        super().shutdown_request(request)

    def drop(self):
        for request in list(self.open):
            try:
                request.shutdown(2)
            except OSError:
                pass

    def handle_error(self, request, client_address):
        """A runner that is stopped, or a crash, leaves calls behind."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("content-length", 0))) or b"{}")
        out = self.server.worker.call(self.path, body, self.headers.get("x-expect-instance", ""))
        if out is None:
            self.close_connection = True
            return
        data = json.dumps(out[1]).encode()
        self.send_response(out[0])
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
