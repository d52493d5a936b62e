"""Starts the project's programs as the deploy file says, with stand-ins around them."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from . import web
from .store import Store
from .worker import Record, Worker

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["derby-hall", "leicester-hall", "nottingham-hall"]
SERVICE = "huvo11a"
LEAD_S = 10  # traffic starts so long after the machines
HOST = "nony24.example"
CAPACITY = {"cpu": 16000, "mem_mb": 64000, "gpu": 0}
ROUTES = [  # of the site mttla-ladder: bookings, recalculations, archives
    {"name": "r-book", "prefix": "/lohu930/", "target_latency_ms": 250, "priority": 0, "attempts": 4, "stretch": 1.5},
    {"name": "r-calc", "prefix": "/pufi791/", "target_latency_ms": 1000, "priority": 2, "attempts": 2, "stretch": 2.0},
    {"name": "r-keep", "prefix": "/pule252/", "target_latency_ms": 2500, "priority": 0, "attempts": 2, "stretch": 2.2},
]


def config(version):
    routes = [{"host": HOST, "kind": "non_idempotent", "timeout_ms": 3000, "service": SERVICE, **r} for r in ROUTES]
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
               "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": False, "headroom": False}
    limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": [service], "limits": limits}


def roles():
    """The roles of the deploy file; the texts among their keys."""
    out = {}
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if section := re.match(r"\[roles\.([\w-]+)\]", line):
            at = out.setdefault(section[1], {})
        elif out and (entry := re.match(r'(\w+) = "(.*)"', line)):
            at[entry[1]] = entry[2]
    return out


def render(text, fields):
    """The part of the platform's templates that the deploy file uses."""

    def find(path):
        at = fields
        for name in path.split("."):
            at = at[int(name)] if isinstance(at, list) else at.get(name)
            if at is None:
                return None
        return at

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda m: m[2] if find(m[1]) else "", text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1])), text)


def free_port(ips):
    """A port that is free on all of these addresses."""
    while True:
        port = random.randrange(20000, 32000)
        try:
            for ip in ips:
                with socket.socket() as at:
                    at.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    at.bind((ip, port))
            return port
        except OSError:
            continue


class Machine:
    def __init__(self, name, kind, zone, ip):
        self.name, self.kind, self.zone, self.ip = name, kind, zone, ip
        self.processes = {}  # role -> Popen


class Deployment:
    def __init__(self, directory, sides=3, names=None):
        self.directory = pathlib.Path(directory)
        self.record = Record()
        self.deploy = roles()
        net = f"127.{random.randrange(16, 250)}"
        self.edges = [Machine(f"edge-{zone}-1", "edge", zone, f"{net}.{i}.1") for i, zone in enumerate(ZONES)]
        self.sides = []
        for i in range(sides):
            zone = ZONES[i % 3]
            self.sides.append(Machine((names or "side-{zone}-{n}").format(zone=zone, n=i // 3 + 1), "side", zone,
                                      f"{net}.{i % 3}.{10 + i}"))
        ips = [machine.ip for machine in self.edges + self.sides]
        store_ip = f"{net}.9.7"
        ports = {}
        for name in ("front", "ready", "control", "app", "store"):
            while ports.get(name) in (None, *[p for n, p in ports.items() if n != name]):
                ports[name] = free_port([*ips, store_ip])
        self.ports = ports
        low = free_port(ips)
        self.internal = [low, low + 15]
        self.store = Store(store_ip, ports["store"])
        self.workers = [
            Worker(m.name, m.ip, ports["app"], (m.ip, ports["control"]), m.zone, f"r{i % 3 + 1}-1", SERVICE,
                   self.record, CAPACITY) for i, m in enumerate(self.sides)]
        self.sent = []

    def fields(self, machine):
        edge = machine.kind == "edge"
        listen = {"control": f"{machine.ip}:{self.ports['control']}"}
        if edge:
            listen.update({name: f"{machine.ip}:{self.ports[name]}" for name in ("front", "ready")})
        return {"node_name": machine.name, "zone": machine.zone, "ip": machine.ip, "listen": listen,
                "internal_ports": self.internal, "app": f"{machine.ip}:{self.ports['app']}",
                "limits": {"cpu_share": 0.25 if edge else 0.15, "cores": 1, "link_mbps": 1000.0},
                "bounds": {"config_apply_ms": 2000, "hold_max_ms": 6000},
                "platform": {"address": f"{self.store.ip}:{self.store.port}"}}

    def spawn(self, machine, role):
        spec = self.deploy[role]
        path = self.directory / f"{machine.name}.{role}.yaml"
        path.write_text(render((ROOT / spec["template"]).read_text(), self.fields(machine)))
        command = [str(path) if word == "/etc/chiveglade/local.yaml" else word for word in spec["run"].split()]
        log = open(self.directory / f"{machine.name}.{role}.log", "ab")
        machine.processes[role] = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)

    async def start(self):
        await self.store.start()
        await self.store.put("op", "config", config(7))
        for machine in self.edges:
            self.spawn(machine, "gateway")
        for i, machine in enumerate(self.sides):
            self.spawn(machine, "runner")
            if i < len(ZONES):
                self.spawn(machine, "standby")
        await asyncio.sleep(0.3)
        for worker in self.workers:
            await worker.start()
        until = time.monotonic() + 15
        while time.monotonic() < until:
            replies = [await web.call(m.ip, self.ports["ready"], "GET", "/readyz", timeout=1) for m in self.edges]
            if all(reply and reply[0] == 200 for reply in replies):
                await asyncio.sleep(LEAD_S)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError("the gateways did not become ready")

    async def stop(self):
        processes = [p for m in self.edges + self.sides for p in m.processes.values()]
        for process in processes:
            process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()

    def exits(self):
        return [f"{m.name}/{role} {p.returncode}" for m in self.edges + self.sides
                for role, p in m.processes.items() if p.poll() is not None]

    async def ask(self, method, path, body=None, edge=None, deadline_ms=3000):
        """One call of a client; returns (status, JSON) or None."""
        edge = edge or random.choice(self.edges)
        reply = await web.call(edge.ip, self.ports["front"], method, path, body,
                               {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}, deadline_ms / 1000)
        self.sent.append(f"{self.record.now():7d} {method} {path} at {edge.name}: "
                         f"{'no answer' if reply is None else f'{reply[0]} {reply[1][:60]}'}")
        if reply is None:
            return None
        try:
            return reply[0], json.loads(reply[1])
        except json.JSONDecodeError:
            return reply[0], {}

    async def submit(self, prefix, steps, ms, padding=0, tries=5, saves=False, **schedule):
        """Hands a job in like a client; returns its ID if it was accepted."""
        job = "%016x" % random.getrandbits(64)
        spec = json.dumps({"ms": ms, "saves": saves, "pad": "x" * padding})
        for _ in range(tries):
            reply = await self.ask("POST", prefix + job, {"spec": spec, "steps": steps, **schedule})
            if reply and 200 <= reply[0] < 300:
                return job
            await asyncio.sleep(0.5)
        return None

    async def state(self, prefix, job):
        reply = await self.ask("GET", prefix + job)
        return reply[1].get("state") if reply and reply[0] == 200 else f"{reply and reply[0]}"


def twice(deployment):
    """Breaks of the rule TWICE, as the workers saw them."""
    by_task = {}
    for run in deployment.record.runs:
        by_task.setdefault(run.task, []).append(run)
    now = deployment.record.now()
    lapses = {worker.name: worker.lapses for worker in deployment.workers}
    out = []
    for task, runs in sorted(by_task.items()):
        for i, first in enumerate(runs):
            for second in runs[i + 1:]:
                end = now if first.end is None else first.end
                lapsed = any(end <= at for at in lapses[first.worker])
                if second.begin < end:
                    out.append(f"{task}: run {first.run} on {first.worker} from {first.begin} to {first.end} "
                               f"({first.how}), run {second.run} on {second.worker} from {second.begin}")
                elif first.how == "done" and first.acknowledged and not lapsed:
                    out.append(f"{task}: run {first.run} on {first.worker} ended done at {end} and was taken note of, "
                               f"run {second.run} on {second.worker} began at {second.begin}")
    return out


def write_record(deployment, path, verdict):
    lines = ["verdict: " + verdict, "", "events"] + deployment.record.events + ["", "calls of clients"]
    lines += deployment.sent + ["", "runs: task, run, worker, begin, end, how, acknowledged"]
    lines += [f"{r.task} {r.run} {r.worker} {r.begin} {r.end} {r.how} {'yes' if r.acknowledged else 'no'}"
              for r in deployment.record.runs]
    pathlib.Path(path).write_text("\n".join(lines) + "\n")


def run_case(folder, play):
    """Plays a case and exits with 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    # A case that is ended early still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    with tempfile.TemporaryDirectory() as directory:
        deployment = Deployment(os.environ.get("KEEP", directory), **getattr(play, "options", {}))
        try:
            code, verdict = asyncio.run(guarded(deployment, play))
        except Exception as error:  # not a broken rule
            traceback.print_exc()
            code, verdict = 2, f"could not run: {error!r}"
        write_record(deployment, folder / "record.txt", verdict)
        print(verdict)
        sys.exit(code)


async def guarded(deployment, play):
    try:
        await deployment.start()
        return await play(deployment)
    finally:
        deployment.record.note("processes that ended by themselves: " + (", ".join(deployment.exits()) or "none"))
        await deployment.stop()


def leader(deployment):
    """The machine and role that last wrote the row of the leader under a condition."""
    value = base64.b64decode(deployment.store.rows[("leader", "c", "current")][0])
    names = {}
    for machine in deployment.edges + deployment.sides:
        for role in machine.processes:
            if role != "runner":
                names[machine.name + ("-standby" if role == "standby" else "")] = (machine, role)
    # The longest name that occurs, since one name may begin another.
    return names[max((name for name in names if name.encode() in value), key=len)]


def lost(deployment, jobs, states):
    """Breaks of the rule LOST at the end: nothing of the job ran for 3 s, although there was room for it."""
    now = deployment.record.now()
    out = []
    for job, state in zip(jobs, states):
        if state in ("completed", "failed", "cancelled"):
            continue
        ends = [now if run.end is None else run.end for run in deployment.record.runs if run.task.startswith(job)]
        last = max(ends, default=0)
        if now - last >= 3000:
            out.append(f"job {job}: state {state}, nothing of it has run "
                       f"{'at all' if not ends else f'since {last}'}, now {now}")
    return out
