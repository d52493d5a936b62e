"""A heartbeat of another writer, for a service that isn't configured, reaches a runner."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin import web  # noqa: E402
from standin.deployment import run_case, twice  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/pufi791/"
TASK_MS = 4300
STEP = {"count": 8, "cpu": 900, "mem_mb": 1600, "estimate_ms": TASK_MS}
JOBS = 9


async def play(deployment):
    record = deployment.record
    jobs = []
    for _ in range(JOBS // 3):
        jobs.append(await deployment.submit(PREFIX, [STEP], TASK_MS))
    await asyncio.sleep(1)
    target = deployment.workers[0]
    if TROUBLE:
        body = {"service": "tefo88k", "address": f"{target.ip}:{target.port + 1}", "zone": target.zone, "version": "v1",
                "slots": 8, "state": "ready", "cold_left_ms": 0, "capacity": target.capacity,
                "labels": ["a", target.rack], "clock_ms": 1000, "sequence": 1, "born": time.time_ns() // 1_000_000}
        reply = await web.call(*target.control, "PUT", "/instances/i-4cc0d1e27a", body)
        record.note(f"heartbeat of i-4cc0d1e27a, service tefo88k, at the runner of {target.name}: {reply}")
    for _ in range(JOBS - JOBS // 3):
        await asyncio.sleep(2)
        jobs.append(await deployment.submit(PREFIX, [STEP], TASK_MS))
    for _ in range(40):
        await asyncio.sleep(0.5)
        states = [await deployment.state(PREFIX, job) for job in jobs]
        if all(state == "completed" for state in states):
            break
    breaks = twice(deployment)
    for line in breaks[:20]:
        record.note("TWICE " + line)
    if not all(jobs) or not record.runs:
        return 2, "a job was not accepted"
    later = sum(run.worker == target.name and run.begin > record.now() - 15000 for run in record.runs)
    return (1 if breaks else 0), (f"{len(breaks)} breaks of TWICE, {len(record.runs)} runs, "
                                  f"{later} of them on {target.name} in the last 15 s")


play.options = {"sides": 3}
run_case(HERE, play)
