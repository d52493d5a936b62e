"""More ends on one worker than a list holds, while the store is down."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin.deployment import run_case, twice  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
JOBS = 25
WIDTH = 32  # tasks of a job; the widest step of the site
TASK_MS = 5000
DOWN_S = 4.5
PREFIX = "/pufi791/"


async def play(deployment):
    record = deployment.record
    # The label keeps the jobs on the one worker of a rack.
    step = {"count": WIDTH, "cpu": 18, "mem_mb": 32, "estimate_ms": TASK_MS, "constraints": "r1-1"}
    began = record.now()
    jobs = []
    for i in range(JOBS):
        jobs.append(await deployment.submit(PREFIX, [step], TASK_MS))
        await asyncio.sleep(max(0, (began + 150 * (i + 1) - record.now()) / 1000))
    if not all(jobs):
        return 2, "a job was not accepted"
    record.note(f"{len(record.runs)} runs have begun")
    await asyncio.sleep(max(0, (record.runs[0].begin + TASK_MS - 200 - record.now()) / 1000))
    if TROUBLE:
        record.note("store down")
        deployment.store.silent = True
        await asyncio.sleep(DOWN_S)
        deployment.store.silent = False
        record.note("store up")
    states = []
    for _ in range(30):
        await asyncio.sleep(0.5)
        states = [await deployment.state(PREFIX, job) for job in jobs]
        if all(state == "completed" for state in states):
            break
    breaks = twice(deployment)
    for line in breaks[:5]:
        record.note("TWICE " + line)
    if len({run.task for run in record.runs}) < JOBS * WIDTH:
        return 2, "not all tasks ran"
    return (1 if breaks else 0), f"{len(breaks)} breaks of TWICE, {len(record.runs)} runs"


play.options = {"sides": 3}
run_case(HERE, play)
