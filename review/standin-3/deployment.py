"""A small deployment on loopback: the project's own programs, with settings as the deploy file's templates give them for
a small site, beside a store, workers and callers that are stand-ins.

A case gives its record (`Record`), starts a `Deployment`, and ends it with `stop()`, which ends all processes by id.
"""

import contextlib
import http.client
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

from platform_store import Store
from worker import Worker

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target" / "chiveglade"
# The bounds of the small sites (mttla-ladder, tetoszin-prod), in seconds.
CONTACT_S, ACK_S, CONFIG_APPLY_S, CANCEL_S, VISIBLE_S, FINISH_S = 3.0, 4.0, 2.0, 3.0, 3.0, 14.0

HOST, PREFIX, QUEUE, SERVICE = "jobs.example", "/jobs/", "jobs", "app-0"


def configuration(version=1, routes=None):
    route = {"name": QUEUE, "host": HOST, "prefix": PREFIX, "kind": "non_idempotent", "timeout_ms": 3000,
             "target_latency_ms": 1000, "priority": 0, "service": SERVICE, "attempts": 2, "stretch": 2.0}
    return {"version": version, "routes": routes or [route],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                          "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": False, "headroom": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.wall = time.time()  # at the beginning
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, who, what):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {who}: {what}\n")
            self.file.flush()


class CannotRun(Exception):
    """The case could not be set up."""


def free_ports(count):
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]


class Process:
    def __init__(self, name, role, settings, directory, record):
        self.name, self.role, self.directory, self.record = name, role, directory, record
        self.path = directory / f"{name}.json"
        self.path.write_text(json.dumps(settings, indent=1))
        self.child = None

    def change(self, **settings):
        self.path.write_text(json.dumps({**json.loads(self.path.read_text()), **settings}, indent=1))

    def start(self):
        with open(self.directory / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen([str(PROGRAM), self.role, str(self.path)], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL, cwd=ROOT)
        self.record(self.name, f"started as process {self.child.pid}")

    def signal(self, number):
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


def wait_for(condition, what, patience=20.0):
    until = time.monotonic() + patience
    while not condition():
        if time.monotonic() > until:
            raise CannotRun(f"waited in vain for {what}")
        time.sleep(0.02)


class Answer:
    def __init__(self, status, body):
        self.status, self.body = status, body

    def state(self):
        try:
            return json.loads(self.body).get("state")
        except (ValueError, AttributeError):
            return None


def ask(address, method, path, body=None, timeout=3.0, record=None):
    """One request of a caller on a connection of its own. The status is None if there is no whole answer in time."""
    what = f"{method} {path}" + (f" {body}" if body else "")
    if record:
        record("caller", f"sends {what} to {address[1]}")
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, {"Host": HOST, "Content-Type": "application/json",
                                                "X-Deadline-Ms": str(int(timeout * 1000))})
        reply = connection.getresponse()
        out = Answer(reply.status, reply.read().decode(errors="replace"))
    except (OSError, http.client.HTTPException) as error:
        out = Answer(None, type(error).__name__)
    finally:
        connection.close()
    if record:
        record("caller", f"is answered {method} {path}: {out.status} {out.body}")
    return out


def new_id():
    return secrets.token_hex(8)


class Deployment:
    """Gateways on edge VMs, and a runner and a worker on each side VM."""

    def __init__(self, record, gateways=2, workers=2, config=None, lives=None):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.name} is not built")
        self.record = record
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(record)
        self.store.configure(config or configuration())
        store = [f"127.0.0.1:{self.store.port}"]
        self.gateways, self.runners, self.workers = [], [], []
        ports = iter(free_ports(4 * gateways + 4 * workers))
        for n in range(gateways):
            caller, ready, peer, metrics = (next(ports) for _ in range(4))
            process = Process(f"edge-{n}", "gateway", {
                "name": f"edge-{n}", "data_centre": "z0", "caller_listen": f"127.0.0.1:{caller}",
                "ready_listen": f"127.0.0.1:{ready}", "peer_listen": f"127.0.0.1:{peer}",
                "metrics_listen": f"127.0.0.1:{metrics}", "processor_share": 0.25, "processor_speed": 1,
                "link_mbps": 1000.0, "settings_max_age_ms": 2000, "max_row_bytes": 65536, "keep_interference": True,
                "feasible_jobs_first": True, "adaptive_latency_margin": True, "prefer_tolerant_vms": True,
                "initial_interference": 0.03, "remote_slowdown": 1.5, "memory_mb": 260, "max_fds": 4100,
                "store": store}, self.directory, record)
            process.front, process.ready = ("127.0.0.1", caller), ("127.0.0.1", ready)
            process.metrics = ("127.0.0.1", metrics)
            self.gateways.append(process)
        for n in range(workers):
            control, app, peer, metrics = (next(ports) for _ in range(4))
            process = Process(f"side-{n}", "runner", {
                "vm": f"side-{n}", "data_centre": "z0", "worker_listen": f"127.0.0.1:{control}",
                "worker": f"127.0.0.1:{app}", "peer_listen": f"127.0.0.1:{peer}",
                "metrics_listen": f"127.0.0.1:{metrics}", "initial_interference": 0.03, "memory_mb": 128,
                "max_fds": 4096, "store": store, "worker_lease_ms": 6000}, self.directory, record)
            process.metrics = ("127.0.0.1", metrics)
            self.runners.append(process)
            self.workers.append(Worker(f"i-{n}", ("127.0.0.1", app), ("127.0.0.1", control), record))

    def start(self):
        for process in self.gateways + self.runners:
            process.start()
        for worker in self.workers:
            worker.gangs, worker.gang_sizes = self.workers[0].gangs, self.workers[0].gang_sizes
            worker.start()
        for gateway in self.gateways:
            wait_for(lambda g=gateway: ask(g.ready, "GET", "/readyz").status == 200, f"{gateway.name} to be ready")
        wait_for(self.coordinator, "a coordinator")

    def status(self, process):
        answer = ask(process.metrics, "GET", "/status", timeout=1.0)
        return json.loads(answer.body) if answer.status == 200 else {}

    def coordinator(self):
        """The gateway that coordinates, if all agree."""
        names = {self.status(gateway).get("coordinator") for gateway in self.gateways}
        return next((g for g in self.gateways if names == {g.name}), None)

    def starts(self, job):
        return sorted(s for worker in self.workers for s in worker.starts if s[1].startswith(job + "."))

    def stop(self):
        for process in self.gateways + self.runners:
            process.kill()
        for worker in self.workers:
            worker.stop()
        self.store.shutdown()
        self.store.server_close()
        if os.environ.get("KEEP"):
            print(self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def job(length_ms, count=1, **fields):
    step = {"count": count, "cpu": 1000, "mem_mb": 100, "estimate_ms": length_ms, **fields}
    return json.dumps({"spec": f"{length_ms} work", "steps": [step]})


def run_case(case, directory):
    """Runs `case(record, trouble)`, which returns what broke the rule, or None. Gives the exit code."""
    record = Record(pathlib.Path(directory) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case", "with the disruption" if trouble else "without the disruption")
    try:
        broken = case(record, trouble)
    except (CannotRun, OSError, KeyError, ValueError) as error:
        record("case", f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error}")
        return 2
    record("case", f"RULE BROKEN: {broken}" if broken else "the rule held")
    print(f"rule broken: {broken}" if broken else "the rule held")
    return 1 if broken else 0
