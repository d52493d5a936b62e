"""Real gateways and runners under faults drawn from a seed, with relays between all VMs.

Callers hand in jobs of steps, gangs, best-effort and serving tasks all the while. Every accepted job must end, no task
may run twice, and no job may stand idle beside free VMs once the deployment is calm. For long runs by hand:
job_soak_test.py --seeds FIRST LAST.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import soak_world as lib  # noqa: E402
from soak_record import VISIBLE_S, Job, Runs, Watch  # noqa: E402

EDGES, SIDES, ZONES = 3, 11, 3
STANDBYS = 3  # on the first side VMs, one a data centre
HOST = "jobs.example"
PREFIXES = {"booking": "/booking/", "batch": "/batch/", "serving": "/serving/"}
FINISH_S = 20.0
EVACUATE_S = 5.0
TERM_S = 6.0  # between SIGTERM and SIGKILL
WARM_UP_S, FAULTS_S, AFTER_S = 5.0, 24.0, 4.0
PORTS = 256  # of one deployment
CI_PLAYS = [("one_way_cut", 1), ("healing", 4)]


class CannotRun(Exception):
    """The deployment could not be set up."""


def free_port_block(count):
    """First of a run of ports that are free on loopback, below those that the kernel gives out, and the socket on the
    last of them, which keeps other runs of this test away."""
    blocks = range(10000, 32000 - count, count)
    for n in range(len(blocks)):
        first = blocks[(os.getpid() + n) % len(blocks)]
        try:
            held = socket.create_server(("127.0.0.1", first + count - 1))
        except OSError:
            continue
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count - 1):
                    stack.enter_context(socket.create_server(("127.0.0.1", port)))
                return first, held
            except OSError:
                held.close()
    raise CannotRun("no ports are free")


class Process:
    def __init__(self, world, name, role, vm, settings):
        self.world, self.name, self.role, self.vm = world, name, role, vm
        self.path = world.directory / f"{name}.json"
        self.settings = settings
        self.child = None
        self.freezes = 0  # under way
        self.write()

    def write(self):
        self.path.write_text(json.dumps(self.settings, indent=1))

    def start(self):
        with open(self.world.directory / f"{self.name}.log", "ab") as log:
            self.child = subprocess.Popen([str(self.world.program), self.role, str(self.path)], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.world.note("process_start", process=self.name, pid=self.child.pid)

    def is_up(self):
        return self.child is not None and self.child.poll() is None and not self.freezes

    def signal(self, number):
        if self.child and self.child.poll() is None:
            self.world.note("signal", process=self.name, signal=signal.Signals(number).name)
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.child.send_signal(signal.SIGCONT)
                self.child.kill()
            self.child.wait()

    async def until_gone(self, patience):
        until = time.monotonic() + patience
        while self.child.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.kill()


class World:
    def __init__(self, program, directory, seed):
        self.program, self.directory, self.seed = program, directory, seed
        self.rng = random.Random(seed)
        self.began, self.wall = time.monotonic(), time.time()
        self.record = open(directory / "record.txt", "w", encoding="utf-8")
        self.problems = []
        self.idle_jobs = []
        self.jobs = {}
        self.runs = Runs(self.jobs, self.broken, self.note, self.is_evacuated)
        self.workers, self.gateways, self.runners = [], [], []
        self.gangs = {}
        self.evacuated = {}  # zone -> since when
        self.faults_now = 0
        self.last_fault = self.began
        self.busy = []
        self.cut_for_good = None  # VM
        self.config_version = 0
        self.loop_lag = 0.0

    # The record.

    def note(self, event, **fields):
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.record.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")

    def broken(self, what, job=None):
        self.note("BROKEN", what=what)
        self.problems.append(f"{time.monotonic() - self.began:.1f} s: {what}")
        if job and job not in self.idle_jobs:
            self.idle_jobs.append(job)

    def calm_since(self):
        return time.monotonic() if self.faults_now else self.last_fault

    def is_sound(self, worker):
        vm = worker.vm
        return (worker.up and not worker.is_mute and not worker.late_share and not worker.lose_answers and worker.beats
                and self.runners[vm].is_up() and not self.network.is_cut(vm) and worker.zone not in self.evacuated)

    def is_evacuated(self, zone):
        """Whether starts there break the rule: all processes have had the time to learn of it."""
        since = self.evacuated.get(zone)
        return since is not None and time.monotonic() > max(since, self.calm_since()) + EVACUATE_S

    # Gangs: members work only together, from the moment when all are present.

    def gang(self, run):
        return self.gangs.setdefault((run.task.rpartition(".")[0], run.number),
                                     {"members": set(), "began": None, "over": None})

    def leave_gang(self, run, how):
        if run.step.get("gang"):
            gang = self.gang(run)
            gang["over"] = gang["over"] or how

    # Set-up. VMs are numbered: side VMs first, then edges.

    async def start(self):
        first, self.reserved = free_port_block(PORTS)
        self.addresses = lib.Addresses(first)
        self.network = lib.Network(self.addresses, self.note)
        self.store = lib.Store(self.addresses, self.network, self.note, self.rng)
        ports = iter(range(first + 2 * lib.MAX_PROCESSES, first + PORTS - 1))
        store_at = {}
        for vm in range(SIDES + EDGES):
            store_at[vm] = ("127.0.0.1", next(ports))
            await self.store.serve(vm, store_at[vm])
        self.configure()
        numbers = iter(range(lib.MAX_PROCESSES))

        def common(vm, number):
            self.addresses.vm_of[number] = vm
            ip, port = self.addresses.bound(number)
            return {"data_centre": f"z{vm % ZONES}", "peer_listen": f"{ip}:{port}",
                    "metrics_listen": f"127.0.0.1:{next(ports)}", "store": ["{}:{}".format(*store_at[vm])],
                    "initial_interference": 0.05, "max_fds": 4096}

        coordinating = {"processor_speed": 1, "link_mbps": 1000.0, "settings_max_age_ms": 2000,
                        "keep_interference": True, "feasible_jobs_first": True, "adaptive_latency_margin": True,
                        "prefer_tolerant_vms": True, "remote_slowdown": 1.5}
        for vm in range(SIDES):
            app, control = ("127.0.0.1", next(ports)), ("127.0.0.1", next(ports))
            self.runners.append(Process(self, f"side-{vm}", "runner", vm, {
                **common(vm, next(numbers)), "vm": f"side-{vm}", "worker_listen": "{}:{}".format(*control),
                "worker": "{}:{}".format(*app), "memory_mb": 128, "worker_lease_ms": lib.HOLD_MAX_MS}))
            self.workers.append(lib.Worker(self, vm, f"i-{vm}", app, control, f"z{vm % ZONES}", f"r{vm // 3}",
                                           16000 if vm % 3 else 24000, 64000))
        for n in range(EDGES):
            vm = SIDES + n
            front, ready = ("127.0.0.1", next(ports)), ("127.0.0.1", next(ports))
            process = Process(self, f"edge-{n}", "gateway", vm, {
                **common(vm, next(numbers)), **coordinating, "name": f"edge-{n}",
                "caller_listen": "{}:{}".format(*front), "ready_listen": "{}:{}".format(*ready),
                "processor_share": 0.25, "memory_mb": 260, "max_row_bytes": lib.ROW_BYTES})
            process.front, process.ready = front, ready
            self.gateways.append(process)
        for vm in range(STANDBYS):
            self.gateways.append(Process(self, f"side-{vm}-standby", "gateway", vm, {
                **common(vm, next(numbers)), **coordinating, "name": f"side-{vm}-standby",
                "processor_share": 0.15, "memory_mb": 128}))
        self.edges = self.gateways[:EDGES]
        for process in self.processes():
            number = int(process.settings["peer_listen"].split(":")[1]) - first
            for vm in range(SIDES + EDGES):
                if vm != process.vm:
                    await self.network.open_relay(vm, number)
        for process in self.processes():
            process.start()
        for worker in self.workers:
            await worker.start()
        await self.until(self.is_ready, "the gateways to be ready", 15)

    def processes(self):
        return self.gateways + self.runners

    async def find(self, who):
        """The processes of that name or VM ("vm-N"), or the coordinator."""
        name = await self.coordinator() if who == "coordinator" else who
        return [process for process in self.processes() if process.name == name or name == f"vm-{process.vm}"]

    async def coordinator(self):
        for edge in self.edges:
            at = edge.settings["metrics_listen"].split(":")
            status, content = await lib.call((at[0], int(at[1])), "GET", "/status", timeout=0.5)
            if status == 200 and content and content.get("coordinator"):
                return content["coordinator"]
        return self.edges[0].name

    async def until(self, condition, what, patience):
        until = time.monotonic() + patience
        while not await condition():
            if time.monotonic() > until:
                raise CannotRun(f"waited in vain for {what}")
            await asyncio.sleep(0.05)

    async def is_ready(self):
        for edge in self.edges:
            if (await lib.call(edge.ready, "GET", "/readyz", timeout=1))[0] != 200:
                return False
        return True

    def configure(self):
        self.config_version += 1
        routes = [{"name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
                   "timeout_ms": 3000 + self.config_version, "target_latency_ms": 1000,
                   "priority": 2 if name == "batch" else 0, "service": "app-0", "attempts": 4, "stretch": 2.0}
                  for name, prefix in PREFIXES.items()]
        self.store.put("config", {
            "version": self.config_version, "routes": routes,
            "services": [{"name": "app-0", "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": False,
                          "cold_start_s": 0.0, "cold_per_s": 0.0, "enforces_capacity": False, "headroom": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}})

    async def stop(self):
        for process in self.processes():
            process.kill()
        for child in self.busy:
            child.kill()
            child.wait()
        for worker in self.workers:
            worker.up = False
            if worker.http:
                worker.http.stop()
        if hasattr(self, "store"):
            self.store.stop()
            await self.network.stop()
            self.reserved.close()
        self.record.close()

    # Callers.

    def new_job(self, rng):
        """A job whose steps and whose `spec` are drawn from the seed."""
        name = f"{rng.getrandbits(64):016x}"
        draw = rng.random()
        steps, kinds = [], []

        def add(kind, **fields):
            kinds.append(kind | {"cpu": fields["cpu"], "mem_mb": fields["mem_mb"]})
            after = {"after": [len(steps) - 1]} if steps else {}
            steps.append({"estimate_ms": kind.get("ms", 500), **fields, **after})

        if draw < 0.62:
            for _ in range(rng.choice([1, 1, 2, 2, 3])):
                add({"ms": rng.randrange(200, 900)}, count=rng.randrange(4, 9), cpu=rng.randrange(120, 700),
                    mem_mb=480, image=f"app-{rng.randrange(3)}")
            return Job(name, "booking", steps, kinds)
        if draw < 0.68:
            size = rng.randrange(3, 6)
            add({"ms": rng.randrange(400, 1500), "gang": size}, count=size, cpu=800, mem_mb=800, gang=True,
                image="gang")
            return Job(name, "booking", steps, kinds)
        for _ in range(rng.choice([1, 2, 2, 3])):
            add({"ms": rng.randrange(600, 1700), "fills": True}, count=rng.randrange(4, 9),
                cpu=rng.randrange(900, 2600), mem_mb=2400, fills=True, image=f"fill-{rng.randrange(4)}")
        return Job(name, "batch", steps, kinds)

    def new_serving_job(self, rng):
        kind = {"lasts": True, "serves": rng.randrange(30, 60), "harm": rng.choice([0.5, 2, 6]), "cpu": 2600,
                "mem_mb": 6000}
        step = {"count": rng.randrange(3, 6), "cpu": 2600, "mem_mb": 6000, "estimate_ms": 500, "long_running": True,
                "image": f"serve-{rng.randrange(3)}", "target_ms": 100}
        return Job(f"{rng.getrandbits(64):016x}", "serving", [step], [kind])

    async def ask(self, method, job, body=None, rng=None):
        edge = (rng or self.rng).choice(self.edges)
        return await lib.call(edge.front, method, PREFIXES[job.queue] + job.name,
                              {"Host": HOST, "X-Deadline-Ms": "3000"}, body)

    async def submit(self, job):
        self.jobs[job.name] = job
        statuses = []
        for _ in range(6):
            status, _ = await self.ask("POST", job, job.body())
            statuses.append(status)
            if status and 200 <= status < 300:
                job.accepted_at = time.monotonic()
                break
            if status in (429, 503):
                job.refused = all(s in (429, 503) for s in statuses)
                break
            await asyncio.sleep(0.3)
        self.note("submit", job=job.name, queue=job.queue, statuses=statuses)
        if job.accepted_at is not None:
            await self.follow(job)

    async def follow(self, job):
        """Asks for the state of an accepted job until it is completed or cancelled."""
        while job.cancelled_at is None:
            await asyncio.sleep(self.rng.uniform(0.5, 1.0))
            asked_at = time.monotonic()
            status, content = await self.ask("GET", job)
            if job.cancelled_at is not None:
                return
            if status == 410 and asked_at - job.accepted_at > VISIBLE_S:
                self.broken(f"GET of the accepted job {job.name} is answered 410", job=job.name)
                return
            if status != 200 or not content:
                continue
            state = content.get("state")
            if state != job.state:
                self.note("state", job=job.name, state=state)
            job.state = state
            if state == "completed":
                job.completed_at = time.monotonic()
                if not all(self.runs.has_step_ended(job, step) for step in range(len(job.steps))):
                    self.broken(f"job {job.name} is shown as completed, but not all of its tasks are done",
                                job=job.name)
                return
            if state in ("failed", "cancelled"):
                self.broken(f"job {job.name} is shown as {state} without cause", job=job.name)
                return

    async def cancel(self, job):
        job.cancelled_at = time.monotonic()
        for _ in range(8):
            status, _ = await self.ask("DELETE", job)
            if status in (200, 202, 204, 410):
                break
            await asyncio.sleep(0.3)
        self.note("cancel", job=job.name, status=status)


class Soak:
    """One run: callers, the faults of a plan, and the check."""

    def __init__(self, world, plan, rate=4.0):
        self.world, self.plan, self.rate = world, plan, rate
        self.callers = set()
        self.is_calling = True
        self.watch = Watch(world)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.callers.add(task)
        task.add_done_callback(self.callers.discard)
        return task

    async def call_on(self):
        rng = random.Random(f"jobs {self.world.seed}")
        for _ in range(2):
            self.spawn(self.world.submit(self.world.new_serving_job(rng)))
        while self.is_calling:
            self.spawn(self.world.submit(self.world.new_job(rng)))
            await asyncio.sleep(rng.expovariate(self.rate))

    async def look_on(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.1)
            self.world.loop_lag = max(self.world.loop_lag, time.monotonic() - before - 0.1)
            self.watch.look()

    async def run(self):
        world = self.world
        await world.start()
        world.note("ready")
        looking = asyncio.create_task(self.look_on())
        calling = asyncio.create_task(self.call_on())
        await asyncio.sleep(WARM_UP_S)
        began = time.monotonic()
        faults = []
        for fault in self.plan:
            await asyncio.sleep(max(0, began + fault.at - time.monotonic()))
            faults.append(asyncio.create_task(fault.play(world, self)))
        await asyncio.sleep(max(0, began + FAULTS_S - time.monotonic()))
        for done in await asyncio.gather(*faults, return_exceptions=True):
            if isinstance(done, Exception):
                raise done
        for zone in list(world.evacuated):
            await take_back(world, self, zone)
        world.note("healed")
        await asyncio.sleep(AFTER_S)
        self.is_calling = False
        await calling
        until = time.monotonic() + FINISH_S
        while time.monotonic() < until and (self.unfinished() or time.monotonic() < world.calm_since() + 12):
            await asyncio.sleep(0.1)
        for job in self.unfinished():
            world.broken(f"job {job.name} of {job.queue} is shown as {job.state} {FINISH_S:.0f} s after the end",
                         job=job.name)
        for process in world.processes():
            if process.child.poll() is not None:
                world.broken(f"{process.name} has ended by itself with {process.child.returncode}")
        for task, held in world.runs.at.items():
            if held and world.jobs[task.split(".")[0]].cancelled_at is not None:
                world.broken(f"task {task} of a cancelled job still runs: {sorted(held)}")
        looking.cancel()
        for task in list(self.callers):
            task.cancel()
        for task in (looking, *faults):
            if task.done() and not task.cancelled() and task.exception():
                raise task.exception()

    def unfinished(self):
        return [job for job in self.world.jobs.values() if job.accepted_at is not None and job.cancelled_at is None
                and not job.is_lasting and job.completed_at is None]


class Fault:
    """Something that goes wrong at a time after the warm-up, in seconds."""

    def __init__(self, at, kind, **choices):
        self.at, self.kind, self.choices = at, kind, choices

    def __repr__(self):
        choices = (f"{k}={v:.2f}" if isinstance(v, float) else f"{k}={v}" for k, v in self.choices.items())
        return f"{self.at:.1f} s {self.kind} " + " ".join(choices)

    async def play(self, world, soak):
        world.note("fault_begins", fault=self)
        world.faults_now += 1
        try:
            await KINDS[self.kind](world, soak, **self.choices)
        finally:
            world.faults_now -= 1
            world.last_fault = time.monotonic()
            world.note("fault_ends", fault=self)


# The kinds of faults. Each takes the world, the soak and what the plan has drawn for it, and heals in the end.


async def cut_for_good(world, _, vm, to, out, new, store):
    """The link of a VM stays cut until the end of the run."""
    world.network.set_cut(vm, to, out, new, store)
    world.cut_for_good = vm


async def cut(world, _, vm, to, out, new, store, seconds):
    if vm == world.cut_for_good:
        return
    world.network.set_cut(vm, to, out, new, store)
    await asyncio.sleep(seconds)
    if vm != world.cut_for_good:
        world.network.set_cut(vm)


async def silence(world, _, vm):
    """The connections that a VM has open pass nothing any more."""
    world.network.silence(vm)


async def slow_link(world, _, vm, by_s, seconds):
    world.network.delay_s[vm] = by_s
    await asyncio.sleep(seconds)
    world.network.delay_s.pop(vm, None)


async def freeze(world, _, who, seconds):
    frozen = await world.find(who)
    for process in frozen:
        process.freezes += 1
        process.signal(signal.SIGSTOP)
    await asyncio.sleep(seconds)
    for process in frozen:
        process.freezes -= 1
        if process.freezes == 0:
            process.signal(signal.SIGCONT)


async def restart(world, _, who, by, down_s):
    async def one(process):
        if by == "SIGKILL":
            world.note("signal", process=process.name, signal=by)
            process.kill()
        else:
            process.signal(signal.SIGTERM)
            await process.until_gone(TERM_S)
        await asyncio.sleep(down_s)
        if process.child.poll() is not None:
            process.start()

    await asyncio.gather(*map(one, await world.find(who)))


async def power_loss(world, _, down_s):
    """All processes end at one moment and come back; workers run on."""
    for process in world.processes():
        process.kill()
    world.note("power_loss")
    for process in world.processes():
        await asyncio.sleep(down_s / len(world.processes()))
        if process.child.poll() is not None:
            process.start()
    await asyncio.sleep(1)


async def store_down(world, _, seconds):
    world.store.is_down = True
    await asyncio.sleep(seconds)
    world.store.is_down = False


async def store_slow(world, _, by_s, seconds):
    world.store.slow_s = by_s
    await asyncio.sleep(seconds)
    world.store.slow_s = 0.0


async def store_lost(world, _, share, seconds):
    world.store.lost_share = share
    await asyncio.sleep(seconds)
    world.store.lost_share = 0.0
    await asyncio.sleep(4)  # calls that are carried out late


async def store_refuses(world, _, vms, how, seconds):
    world.store.refuses.update(dict.fromkeys(vms, how))
    await asyncio.sleep(seconds)
    for vm in vms:
        world.store.refuses.pop(vm, None)


async def store_forgets(world, _):
    world.store.forget()


async def worker_crash(world, _, vm, down_s):
    worker = world.workers[vm]
    if worker.up:
        worker.crash()
        await asyncio.sleep(down_s)
        await worker.start()


async def worker_mute(world, _, vm, seconds):
    world.workers[vm].is_mute = True
    await asyncio.sleep(seconds)
    world.workers[vm].is_mute = False


async def worker_late(world, _, vm, share, seconds):
    world.workers[vm].late_share = share
    await asyncio.sleep(seconds)
    world.workers[vm].late_share = 0.0
    await asyncio.sleep(5)  # calls that are carried out late


async def worker_answers_lost(world, _, vm, share, seconds):
    world.workers[vm].lose_answers = share
    await asyncio.sleep(seconds)
    world.workers[vm].lose_answers = 0.0


async def beats_lost(world, _, vm, seconds):
    world.workers[vm].beats = False
    await asyncio.sleep(seconds)
    world.workers[vm].beats = True


async def configure(world, _, times):
    for _ in range(times):
        world.configure()
        await asyncio.sleep(0.2)


async def change_settings(world, _, who, hup):
    for process in await world.find(who):
        process.settings["initial_interference"] = 0.05 + world.rng.randrange(1, 9) / 1000
        process.write()
        if hup:
            process.signal(signal.SIGHUP)


async def evacuate(world, _, zone):
    world.store.put(f"evacuate/{zone}", {"zone": zone})
    world.evacuated.setdefault(zone, time.monotonic())


async def take_back(world, _, zone):
    world.store.put(f"evacuate/{zone}", None)
    world.evacuated.pop(zone, None)


async def cancel(world, soak, count, seed):
    rng = random.Random(f"cancel {seed}")
    jobs = [job for job in world.jobs.values()
            if job.accepted_at and job.cancelled_at is None and job.completed_at is None]
    for job in rng.sample(jobs, min(count, len(jobs))):
        soak.spawn(world.cancel(job))


async def burst(world, soak, count, seed):
    rng = random.Random(f"burst {seed}")
    for _ in range(count):
        soak.spawn(world.submit(world.new_job(rng)))


async def busy_loops(world, _, count, seconds):
    children = [subprocess.Popen([sys.executable, "-c", "while True: pass"]) for _ in range(count)]
    world.busy += children
    await asyncio.sleep(seconds)
    for child in children:
        child.kill()
        child.wait()


KINDS = {kind.__name__: kind for kind in (
    cut_for_good, cut, silence, slow_link, freeze, restart, power_loss, store_down, store_slow, store_lost,
    store_refuses, store_forgets, worker_crash, worker_mute, worker_late, worker_answers_lost, beats_lost, configure,
    change_settings, evacuate, take_back, cancel, burst, busy_loops)}


def draw(rng, kind, at):
    """The faults of one kind with their choices."""
    side, vm = rng.randrange(SIDES), rng.randrange(SIDES + EDGES)
    who = rng.choice(["coordinator", "coordinator", f"side-{side}", f"vm-{side}", f"edge-{rng.randrange(EDGES)}"])
    to, out = rng.choice([(True, False), (False, True), (True, True)])
    link = {"to": to, "out": out, "new": rng.random() < 0.6, "store": rng.random() < 0.3}
    seconds, long_s = rng.uniform(0.5, 8), rng.uniform(3, 12)
    if kind == "evacuate":
        zone = f"z{rng.randrange(ZONES)}"
        return [Fault(at, kind, zone=zone), Fault(at + rng.uniform(3, 12), "take_back", zone=zone)]
    choices = {
        "cut_for_good": lambda: {"vm": side, **link},
        "cut": lambda: {"vm": vm, "seconds": long_s, **link},
        "silence": lambda: {"vm": vm},
        "slow_link": lambda: {"vm": vm, "by_s": rng.uniform(0.05, 0.4), "seconds": long_s},
        "freeze": lambda: {"who": who, "seconds": seconds},
        "restart": lambda: {"who": who, "by": rng.choice(["SIGKILL", "SIGTERM"]), "down_s": rng.uniform(0.2, 2)},
        "power_loss": lambda: {"down_s": rng.uniform(0.3, 2)},
        "store_down": lambda: {"seconds": rng.uniform(0.5, 6)},
        "store_slow": lambda: {"by_s": rng.uniform(0.05, 0.5), "seconds": seconds},
        "store_lost": lambda: {"share": rng.uniform(0.05, 0.4), "seconds": seconds},
        "store_refuses": lambda: {"vms": sorted(rng.sample(range(SIDES + EDGES), rng.randrange(1, 7))),
                                  "how": rng.choice(["busy", "reset", "hang"]), "seconds": seconds},
        "store_forgets": dict,
        "worker_crash": lambda: {"vm": side, "down_s": rng.uniform(0.1, 3)},
        "worker_mute": lambda: {"vm": side, "seconds": long_s},
        "worker_late": lambda: {"vm": side, "share": rng.uniform(0.2, 1), "seconds": seconds},
        "worker_answers_lost": lambda: {"vm": side, "share": rng.uniform(0.2, 0.8), "seconds": seconds},
        "beats_lost": lambda: {"vm": side, "seconds": long_s},
        "configure": lambda: {"times": rng.randrange(1, 6)},
        "change_settings": lambda: {"who": who, "hup": rng.random() < 0.7},
        "cancel": lambda: {"count": rng.randrange(1, 8), "seed": rng.getrandbits(32)},
        "burst": lambda: {"count": rng.randrange(10, 30), "seed": rng.getrandbits(32)},
        "busy_loops": lambda: {"count": rng.randrange(1, 4), "seconds": long_s},
    }
    return [Fault(at, kind, **choices[kind]())]


def healing(seed, kinds=None):
    """Faults of all kinds, in series and overlapping, all of which heal."""
    rng = random.Random(f"mixed {seed}")
    kinds = kinds or [kind for kind in KINDS if kind not in ("cut_for_good", "take_back")]
    plan = []
    for _ in range(rng.randrange(4, 11)):
        plan += draw(rng, rng.choice(kinds), rng.uniform(0, FAULTS_S - 4))
    return sorted(plan, key=lambda fault: fault.at)


def mixed(seed):
    """The same, and in half of the seeds a link that stays cut."""
    rng = random.Random(f"cut {seed}")
    plan = healing(seed)
    if rng.random() < 0.5:
        plan += draw(rng, "cut_for_good", rng.uniform(0, FAULTS_S - 4))
    return sorted(plan, key=lambda fault: fault.at)


def one_way_cut(seed):
    """What is sent to one runner is lost for good; what it sends arrives."""
    rng = random.Random(f"cut {seed}")
    return [Fault(rng.uniform(0, 4), "cut_for_good", vm=rng.randrange(STANDBYS, SIDES), to=True, out=False, new=True,
                  store=False)]


def lasting_cut(seed):
    """The link of one VM stays cut, in one direction or both, from some moment on."""
    rng = random.Random(f"lasting {seed}")
    return draw(rng, "cut_for_good", rng.uniform(0, 6))


def takeover(seed):
    """The coordinator is lost several times, each time beside other faults that begin within a second."""
    rng = random.Random(f"takeover {seed}")
    plan = []
    for n in range(3):
        at = 7 * n + rng.uniform(0, 2)
        choices = {"who": "coordinator"}
        if rng.random() < 0.5:
            plan.append(Fault(at, "freeze", seconds=rng.uniform(2, 8), **choices))
        else:
            by = rng.choice(["SIGKILL", "SIGTERM"])
            plan.append(Fault(at, "restart", by=by, down_s=rng.uniform(0.2, 3), **choices))
        for kind in rng.sample(["evacuate", "silence", "worker_mute", "worker_late", "worker_crash", "cancel", "burst",
                                "cut", "store_lost", "store_slow", "configure"], 3):
            plan += draw(rng, kind, max(0, at + rng.uniform(-1, 1)))
    return sorted(plan, key=lambda fault: fault.at)


FORMS = {"quiet": lambda _: [], "one_way_cut": one_way_cut, "lasting_cut": lasting_cut,
         "takeover": takeover, "healing": healing, "mixed": mixed}


def read_events(directory):
    """The processes' log lines as dictionaries, in the order of their times."""
    lines = [line for path in directory.glob("*.log") for line in path.read_text(errors="replace").splitlines()]
    events = [dict(word.partition("=")[::2] for word in line.split()) for line in lines if line.startswith("time_ms=")]
    return sorted(events, key=lambda event: int(event["time_ms"]))


def explain(world, directory):
    """Prints which runs of the idle jobs a coordinator has placed and not seen end, and what became of orders."""
    events = read_events(directory)
    began_ms = int(world.wall * 1000)

    def show(event):
        fields = " ".join(f"{k}={v}" for k, v in event.items() if k not in ("time_ms", "job"))
        print(f"    {(int(event['time_ms']) - began_ms) / 1000:.3f} {fields[:200]}")

    for job in world.idle_jobs[:4]:
        print(f"  job {job}:")
        of_job = [event for event in events if event.get("job") == job or event.get("task", "").startswith(job)]
        last = {}  # (task, run) -> last event
        for event in of_job:
            if "task" in event:
                last[event["task"], event["run"]] = event
        for event in [event for event in last.values() if event["event"] != "run_ended"][:4]:
            show(event)
        waits = ("step_waits", "start_refused", "start_given_up")
        for event in [event for event in of_job if event["event"] in waits][-2:]:
            show(event)
    lost = {}
    for event in events:
        if event.get("event") == "orders_lost":
            vm = (event["vm"], event["reason"])
            lost.setdefault(vm, [0, event["time_ms"], event["time_ms"]])
            lost[vm] = [lost[vm][0] + 1, lost[vm][1], event["time_ms"]]
    for (vm, reason), (count, first, last_ms) in lost.items():
        print(f"  orders_lost vm={vm} reason={reason}: {count}, from {(int(first) - began_ms) / 1000:.1f} to "
              f"{(int(last_ms) - began_ms) / 1000:.1f} s")


def play(seed, plan, program, keep=None):
    """Returns whether the run with this seed kept all rules."""
    if keep:
        pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
    directory = pathlib.Path(tempfile.mkdtemp(prefix=f"job-soak-{seed}-", dir=keep))
    world = World(program, directory, seed)
    soak = Soak(world, plan)

    async def whole():
        try:
            async with asyncio.timeout(180):
                await soak.run()
        finally:
            await world.stop()

    try:
        asyncio.run(whole())
    except (CannotRun, TimeoutError) as error:
        world.problems.append(f"could not run: {error!r}")
    accepted = [job for job in world.jobs.values() if job.accepted_at is not None]
    print(f"seed {seed}: {len(world.jobs)} jobs, {len(accepted)} accepted, "
          f"{sum(job.completed_at is not None for job in accepted)} completed, "
          f"{sum(job.refused for job in world.jobs.values())} refused; {len(world.problems)} problems; "
          f"loop late by {world.loop_lag * 1000:.0f} ms at most; {time.monotonic() - world.began:.0f} s", flush=True)
    if not world.problems:
        shutil.rmtree(directory)
        return True
    print(f"FAILED: seed {seed}, logs in {directory}")
    for fault in plan:
        print(f"  fault: {fault}")
    for problem in world.problems[:12]:
        print(f"  {problem}")
    explain(world, directory)
    sys.stdout.flush()
    return False


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", type=pathlib.Path, default=pathlib.Path(__file__).resolve().parents[2] / "build")
    parser.add_argument("--seeds", type=int, nargs=2, metavar=("FIRST", "LAST"))
    parser.add_argument("--form", choices=FORMS, default="mixed")
    parser.add_argument("--kinds", help="only these kinds of faults in the form `healing`, divided by commas")
    parser.add_argument("--keep", help="where logs of failed runs are kept")
    arguments = parser.parse_args()
    plays = CI_PLAYS
    if arguments.seeds:
        plays = [(arguments.form, seed) for seed in range(arguments.seeds[0], arguments.seeds[1] + 1)]
    failed = []
    for form, seed in plays:
        plan = healing(seed, arguments.kinds.split(",")) if arguments.kinds else FORMS[form](seed)
        if not play(seed, plan, arguments.build / "chiveglade", arguments.keep):
            failed.append(f"{form} {seed}")
    print(f"{len(plays) - len(failed)} of {len(plays)} passed" + (f"; failed: {', '.join(failed)}" if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
