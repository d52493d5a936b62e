"""Stand-in of a worker (PROTOCOL.md, "Running tasks" and "Service discovery").

A task's spec is JSON: {"ms": work in milliseconds, "saves": true if it makes
checkpoints}. The record of what ran is kept outside the worker's lives, so that
the judge sees all of them.
"""

import asyncio
import hashlib
import json
import time

from . import web

HOLD_MAX_MS = 6000
HEARTBEAT_S = 1.5
SAVE_MS = 1000
STOP_S = 0.2  # a stop takes at most stop_ms, 400
LIST_ROWS = 500


class Record:
    """What all workers ran: one entry a run, with its times on one clock."""

    def __init__(self):
        self.began = time.monotonic()
        self.runs = []
        self.events = []

    def now(self):
        return round((time.monotonic() - self.began) * 1000)

    def note(self, text):
        self.events.append(f"{self.now():7d} {text}")


class Run:
    def __init__(self, task, run, spec, worker, record):
        self.task, self.run, self.worker = task, run, worker.name
        self.work_ms = json.loads(spec)["ms"]
        self.saves = json.loads(spec).get("saves", False)
        self.begin = record.now()
        self.end = None  # while it runs
        self.how = None
        self.number = None
        self.acknowledged = False
        self.stopping = False


    def saved(self, record):
        """The checkpoint of the last full second of work, a digest in hexadecimal digits."""
        worked = (record.now() if self.end is None else self.end) - self.begin
        if not self.saves or worked < SAVE_MS:
            return ""
        return hashlib.sha256(f"{self.task} {self.run} {worked // SAVE_MS}".encode()).hexdigest()


class Worker:
    def __init__(self, name, ip, port, control, zone, rack, service, record, capacity):
        self.name, self.ip, self.port, self.control = name, ip, port, control
        self.zone, self.rack, self.service = zone, rack, service
        self.record, self.capacity = record, capacity
        self.up = False
        self.instance = "i-" + name
        self.lapses = []  # when its lease ran out, on the record's clock

    async def start(self, first_beat_s=0.0):
        """Begins a life: it holds and knows nothing of an earlier one."""
        self.life = object()
        self.born = time.time_ns() // 1_000_000
        self.start_time = time.monotonic()
        self.lease = 0
        self.token = 0
        self.running = {}
        self.highest = {}  # task -> highest run stopped or ended here
        self.ended = []
        self.next_number = 1
        self.sequence = 0
        self.news = asyncio.Event()
        self.server = web.Server(self.ip, self.port, self.handle)
        await self.server.start()
        self.up = True
        self.record.note(f"{self.name} up, id {self.instance}, born {self.born}")
        self.tasks = [asyncio.ensure_future(self.beat(self.life, first_beat_s)),
                      asyncio.ensure_future(self.expire(self.life))]

    async def crash(self):
        """Ends everything at once, without a word."""
        self.up = False
        self.life = None
        for task in self.tasks:
            task.cancel()
        await self.server.stop()
        for run in self.running.values():
            run.end, run.how = self.record.now(), "lost"
        self.record.note(f"{self.name} down, {len(self.running)} runs lost")
        self.running = {}

    def clock(self):
        return round((time.monotonic() - self.start_time) * 1000)

    async def beat(self, life, first):
        await asyncio.sleep(first)
        while self.life is life:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": self.capacity,
                    "labels": ["a", self.rack], "clock_ms": self.clock(), "sequence": self.sequence,
                    "born": self.born}
            await web.call(*self.control, "PUT", f"/instances/{self.instance}", body, timeout=1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def expire(self, life):
        lapsed = True
        while self.life is life:
            await asyncio.sleep(0.02)
            was, lapsed = lapsed, self.clock() > self.lease
            if lapsed and not was:
                self.lapses.append(self.record.now())
            if lapsed:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")

    def finish(self, run, how):
        if run.how is not None:
            return
        run.end, run.how, run.number = self.record.now(), how, self.next_number
        self.next_number += 1
        if self.running.get(run.task) is run:
            del self.running[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ended.append(run)
        self.news.set()

    async def work(self, life, run):
        await asyncio.sleep(run.work_ms / 1000)
        if self.life is life:
            self.finish(run, "done")

    async def halt(self, life, run):
        await asyncio.sleep(STOP_S)
        if self.life is life:
            self.finish(run, "stopped")

    def answer(self, status, **fields):
        return status, {"clock_ms": self.clock(), **fields}

    def hold_until(self, until):
        if until:
            self.lease = max(self.lease, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, request):
        life = self.life
        wanted = request.headers.get("x-expect-instance")
        if wanted and wanted != self.instance:
            return 421, {}
        if request.path == "/healthz":
            return 200, {}
        body = request.json()
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.answer(409, reason="fence")
        self.token = token
        if request.path == "/run-start":
            return self.start_run(life, body)
        if request.path == "/run-stop":
            return self.stop_run(life, body)
        if request.path == "/hold":
            return await self.hold(life, body)
        return self.answer(200)

    def start_run(self, life, body):
        task, number = body["task"], body["run"]
        there = self.running.get(task)
        if there and there.run == number:
            self.hold_until(body["until_ms"])
            return self.answer(200)
        if number <= max(self.highest.get(task, 0), there.run if there else 0):
            self.hold_until(body["until_ms"])
            return self.answer(409, reason="old")
        if body["until_ms"] <= self.clock():
            return self.answer(409, reason="late")
        self.hold_until(body["until_ms"])
        run = Run(task, number, body["spec"], self, self.record)
        self.running[task] = run
        self.record.runs.append(run)
        asyncio.ensure_future(self.work(life, run))
        return self.answer(200)

    def stop_run(self, life, body):
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        there = self.running.get(task)
        if there and there.run <= number and not there.stopping:
            there.stopping = True
            asyncio.ensure_future(self.halt(life, there))
        return self.answer(200)

    async def hold(self, life, body):
        cursor = body.get("ack_cursor", 0)
        for run in self.ended:
            if run.number <= cursor:
                run.acknowledged = True
        self.ended = [run for run in self.ended if run.number > cursor]
        self.hold_until(body.get("until_ms", 0))
        if not self.ended and body.get("wait_ms"):
            self.news.clear()
            try:
                await asyncio.wait_for(self.news.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.life is not life:
            return None
        running = [[run.task, run.run, run.saved(self.record),
                    min(99, 100 * (self.record.now() - run.begin) // run.work_ms)] for run in self.running.values()]
        ended = [[run.number, run.task, run.run, run.how, run.saved(self.record)] for run in self.ended[:LIST_ROWS]]
        return self.answer(200, born=self.born, running=running, ended=ended)
