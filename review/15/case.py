"""LIMIT: a task that asks for the largest number of millicores counts as nothing, and its VM takes any number of others.

The coordinator's gateway is killed and starts again. A job that can never be done is handed in there: its task asks for
2**63 - 1 millicores. Ordinary jobs follow. Without the kill the same job is handed in too; it is refused then, since the
coordinator has known for 10 s how large the VMs are.
"""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standin-3"))
import deployment as lib  # noqa: E402

WORKERS = 4
HOPELESS = 2**63 - 1
RESTART_S = 0.5


def most_at_once(worker, sent):
    """The highest sum of millicores of the tasks of these jobs that ran at one time, and their number."""
    runs = [(begin, end, sent[task.split(".")[0]]) for task, begin, end in list(worker.runs)
            if task.split(".")[0] in sent]
    out = (0, 0)
    for begin, _, _ in runs:
        beside = [cpu for from_, to, cpu in runs if from_ <= begin and (to is None or to > begin)]
        out = max(out, (sum(beside), len(beside)))
    return out


def case(record, trouble):
    deployment = lib.Deployment(record, gateways=3, workers=WORKERS)
    sent = {}  # job -> millicores of each of its tasks

    def submit(gateway, cpu, count, length_ms):
        name = lib.new_id()
        sent[name] = cpu
        body = lib.job(length_ms, count=count, cpu=cpu)
        return lib.ask(gateway.front, "POST", lib.PREFIX + name, body, record=record)

    try:
        deployment.start()
        time.sleep(12)  # traffic starts 10 s after the machines
        leader = deployment.coordinator()
        if not leader:
            raise lib.CannotRun("no coordinator")
        # One task on each VM, so that something is reserved there.
        for _ in range(WORKERS):
            if submit(leader, 1000, 1, 40000).status != 200:
                raise lib.CannotRun("a job was not accepted")
        time.sleep(1)
        if trouble:
            record(leader.name, "is killed")
            leader.kill()
            time.sleep(RESTART_S)
            leader.start()
            lib.wait_for(lambda: lib.ask(leader.ready, "GET", "/readyz").status == 200, "the gateway to be ready")
            lib.wait_for(deployment.coordinator, "a coordinator")
            time.sleep(1)
        submit(leader, HOPELESS, 1, 30000)
        time.sleep(1)
        # With these the job that can never be done is 1 of 25, a share below the site's 0.05.
        for number in range(20):
            submit(deployment.gateways[number % 3], 1000, 4, 3000)
        time.sleep(5)
        broken = []
        for worker in deployment.workers:
            cpu, tasks = most_at_once(worker, sent)
            ordinary, ordinary_tasks = most_at_once(worker, {n: c for n, c in sent.items() if c != HOPELESS})
            room = worker.capacity["cpu"]
            record("case", f"{worker.name} has {room} millicores; at most {tasks} tasks of {cpu} ran at once there, "
                           f"{ordinary_tasks} of {ordinary} of them of ordinary jobs")
            if ordinary > room:
                broken.append(f"{worker.name} has {room} millicores, and {ordinary_tasks} tasks of ordinary jobs ran "
                              f"at once there, of {ordinary} in all, beside the one that can never be done")
        return "; ".join(broken) or None
    finally:
        deployment.stop()


if __name__ == "__main__":
    sys.exit(lib.run_case(case, HERE))
