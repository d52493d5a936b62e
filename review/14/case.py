"""UNASKED: a job whose cancelling has been acknowledged starts seconds later.

Two gateways. The one that doesn't coordinate is cut off from the store. A caller hands a job in there, is told that it is
unknown whether the job was stored, and cancels it at the other gateway, which answers at once. Then the cut ends.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import deployment as lib  # noqa: E402
from link import Link  # noqa: E402

CUT_S = 5.5  # core_cut of mttla-ladder: count = 1, for_s = 5.5
TASK_MS = 2000


def case(record, trouble):
    deployment = lib.Deployment(record, workers=4)
    links = []
    for gateway in deployment.gateways:
        links.append(Link(("127.0.0.1", deployment.store.port), record, f"link of {gateway.name} to the store"))
        gateway.change(store=[f"127.0.0.1:{links[-1].port}"])
    try:
        deployment.start()
        time.sleep(12)  # traffic starts 10 s after the machines
        leader = deployment.coordinator()
        if not leader:
            raise lib.CannotRun("no coordinator")
        other = next(n for n, gateway in enumerate(deployment.gateways) if gateway is not leader)
        # Ordinary jobs before it.
        for _ in range(10):
            lib.ask(deployment.gateways[other].front, "POST", lib.PREFIX + lib.new_id(), lib.job(200), record=record)
        began = time.monotonic()
        if trouble:
            links[other].cut()
        name = lib.new_id()
        lib.ask(deployment.gateways[other].front, "POST", lib.PREFIX + name, lib.job(TASK_MS, count=4), record=record)
        answer = lib.ask(leader.front, "DELETE", lib.PREFIX + name, record=record)
        acknowledged = time.monotonic()
        if answer.status not in (200, 202, 204, 410):
            raise lib.CannotRun("the cancelling was not acknowledged")
        if trouble:
            time.sleep(max(0.0, began + CUT_S - time.monotonic()))
            links[other].mend()
        time.sleep(10)
        lib.ask(leader.front, "GET", lib.PREFIX + name, record=record)
        late = [start for start in deployment.starts(name) if start[0] > acknowledged + lib.CANCEL_S]
        for at, task, run, *_ in late:
            record("case", f"{task} run {run} was started {at - acknowledged:.2f} s after the cancelling was acknowledged "
                           f"({answer.status})")
        if late:
            return (f"{len(late)} tasks of a job were started {late[0][0] - acknowledged:.2f} s after its cancelling "
                    f"was acknowledged with {answer.status}")
        return None
    finally:
        deployment.stop()
        for link in links:
            link.stop()


if __name__ == "__main__":
    sys.exit(lib.run_case(case, HERE))
