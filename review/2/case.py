"""A worker crashes and is back at once under its id, while tasks are started."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standin.deployment import run_case, twice  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PREFIX = "/lohu930/"
TASK_MS = 640
JOBS_PER_S = 7
CRASHES = 8
DOWN_S = 0.15
FIRST_BEAT_S = 0.3


async def play(deployment):
    record = deployment.record
    jobs = []
    loading = True

    async def load():
        step = {"count": 10, "cpu": 240, "mem_mb": 480, "estimate_ms": TASK_MS}
        while loading:
            jobs.append(asyncio.ensure_future(deployment.submit(PREFIX, [step], TASK_MS)))
            await asyncio.sleep(1 / JOBS_PER_S)

    loader = asyncio.ensure_future(load())
    for i in range(CRASHES):
        await asyncio.sleep(4)
        worker = deployment.workers[i % len(deployment.workers)]
        if TROUBLE:
            await worker.crash()
            await asyncio.sleep(DOWN_S)
            await worker.start(FIRST_BEAT_S)
    await asyncio.sleep(4)
    loading = False
    await loader
    ids = [job for job in await asyncio.gather(*jobs) if job]
    states = []
    for _ in range(20):
        await asyncio.sleep(0.5)
        states = [await deployment.state(PREFIX, job) for job in ids]
        if all(state == "completed" for state in states):
            break
    breaks = twice(deployment)
    for line in breaks[:20]:
        record.note("TWICE " + line)
    if not ids or not record.runs:
        return 2, "nothing ran"
    done = sum(state == "completed" for state in states)
    return (1 if breaks else 0), f"{len(breaks)} breaks of TWICE, {len(record.runs)} runs, {done} of {len(ids)} jobs done"


play.options = {"sides": 8}
run_case(HERE, play)
