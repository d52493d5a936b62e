"""Kills, freezes, outages and replacements of real processes under load."""

import signal
import sys
import threading

import process_case
from process_case import MIX, lib

URGENT_LIMIT_MS = 7100
SCHEDULER_GAP_S = 20  # limit of a wait, not of the product


def expect(condition, what):
    if not condition:
        raise AssertionError(what)


def finish(cluster, job):
    cluster.wait_for(lambda: cluster.job_finished(job), f"{job} to finish", 90)


def checked_load(cluster, name, fault, seconds=8, rate=100):
    """Applies a fault while requests run; no promise about them may break."""
    load = cluster.start_load(seconds, rate, MIX, name)
    fault()
    expect(load.wait(seconds + 60) is not None, "load did not end")
    problems = process_case.check_everything(cluster, [name])
    expect(not problems, f"{len(problems)} problems: {problems[:5]}")
    return cluster.load_report(name)


def killed_scheduler(cluster):
    """A successor has to take over; tasks must neither be lost nor run twice."""
    cluster.submit("killed", 12, 1500)
    victim = cluster.scheduler()

    def kill():
        cluster.entries[victim]["process"].kill()
        cluster.wait_for(lambda: cluster.scheduler() not in (None, victim), "a successor", SCHEDULER_GAP_S)
        cluster.start_entry(victim)

    checked_load(cluster, "killed", kill)
    finish(cluster, "killed")


def frozen_scheduler(cluster):
    """A holder that is paused past its lease and wakes must not decide again."""
    cluster.submit("frozen", 12, 1500)
    victim = cluster.scheduler()
    process = cluster.entries[victim]["process"]

    def freeze():
        process.signal(signal.SIGSTOP)
        others = [n for n in cluster.live_entries() if n != victim]
        cluster.wait_for(lambda: any(cluster.status(n)["scheduler"]["holds"] for n in others), "a successor",
                         SCHEDULER_GAP_S)
        process.signal(signal.SIGCONT)
        cluster.wait_for(lambda: not cluster.status(victim)["scheduler"]["holds"], "the old holder to step down")

    checked_load(cluster, "frozen", freeze)
    finish(cluster, "frozen")


def frozen_agent(cluster):
    """The worker's lease has to stop the tasks of an agent that is paused."""
    worker = cluster.workers[1]
    cluster.submit("paused", 12, 4000)
    cluster.wait_for(lambda: any(a["job"] == "paused" and not a["ended"] for a in cluster.history(worker)["attempts"]),
                     "a task on the worker")
    worker.agent.signal(signal.SIGSTOP)
    try:
        cluster.wait_for(lambda: all(a["ended"] for a in cluster.history(worker)["attempts"] if a["job"] == "paused"),
                         "the lease to end the tasks")
    finally:
        worker.agent.signal(signal.SIGCONT)
    finish(cluster, "paused")
    cluster.wait_for(cluster.all_replicas_serve, "the replica to be back", 60)
    expect(not process_case.check_everything(cluster), "a promise broke")


def killed_agent(cluster):
    """A new agent has to take up the running tasks without ending them."""
    worker = cluster.workers[0]
    cluster.submit("handover", 12, 3000)
    cluster.wait_for(lambda: cluster.job("handover")["phases"].get("running", 0) > 6, "tasks to run")

    def replace():
        worker.agent.kill()
        cluster.start_agent(worker)

    checked_load(cluster, "handover", replace)
    finish(cluster, "handover")


def replaced_vm(cluster):
    """A VM that comes back empty: its tasks run again, once."""
    worker = cluster.workers[2]
    cluster.submit("replaced", 12, 3000)
    cluster.wait_for(lambda: any(a["job"] == "replaced" and not a["ended"]
                                 for a in cluster.history(worker)["attempts"]), "a task on the worker")
    cluster.replace_worker(worker)
    finish(cluster, "replaced")
    cluster.wait_for(cluster.all_replicas_serve, "the replica to be back", 60)
    problems = process_case.check_everything(cluster)
    expect(not problems, problems[:5])


def store_outage(cluster):
    """Without the store requests go on, keyed bookings are refused with not_run, and nothing is accepted."""

    def outage():
        lib.http("POST", cluster.platform_port, "/faults", {"outage": "refuse"})
        code, text = cluster.cli("dc", "out", cluster.centres[1])
        expect(code == 4, f"dc out ended with {code}: {text}")
        lib.http("POST", cluster.platform_port, "/faults", {"outage": "none"})

    report = checked_load(cluster, "outage", outage, seconds=5)
    expect(report["verdicts"].get("ran", 0) > 0, report)
    cluster.wait_for(lambda: cluster.scheduler() is not None, "a scheduler", SCHEDULER_GAP_S)
    cluster.submit("after", 4, 500)
    finish(cluster, "after")


def lost_answers(cluster):
    """Writes that took effect without an answer must be settled, not repeated."""
    lib.http("POST", cluster.platform_port, "/faults", {"lost_answer_pct": 30, "seed": 7})

    def work():
        cluster.submit("unanswered", 12, 800)
        cluster.cli("manifest", "publish", cluster.manifest_path)

    try:
        checked_load(cluster, "unanswered", work)
    finally:
        lib.http("POST", cluster.platform_port, "/faults", {"lost_answer_pct": 0})
    cluster.wait_for(lambda: cluster.job("unanswered") is not None, "the job")
    finish(cluster, "unanswered")


def departure_under_load(cluster):
    """No start after 3 s, no request lost, and work done elsewhere."""
    cluster.submit("leaving", 12, 2000)

    def leave():
        cluster.cli("dc", "out", cluster.centres[0], check=True)
        cluster.submit("meanwhile", 6, 300)
        finish(cluster, "meanwhile")
        cluster.cli("dc", "return", cluster.centres[0], check=True)

    checked_load(cluster, "leaving", leave, seconds=10)
    finish(cluster, "leaving")


def racing_operators(cluster):
    """Of two operators that saw the same version one must win and the other must be told."""
    status, body = lib.http("GET", cluster.entries[cluster.live_entries()[0]]["operators"], "/v1/dc")
    expect(status == 200, body)
    row = next(r for r in body["data_centres"] if r["name"] == cluster.centres[2])
    results = []

    def act():
        results.append(cluster.cli("dc", "out", cluster.centres[2], "--expect", row["version"])[0])

    threads = [threading.Thread(target=act) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    expect(sorted(results) == [0, 3, 3, 3], f"exit codes {results}")
    cluster.wait_for(lambda: cluster.cli("dc", "return", cluster.centres[2])[0] == 0, "the return")


def urgent_start(cluster):
    """Urgent work starts within 7.1 s while lower work fills every VM."""
    cluster.submit("filler", 200, 60_000, "idle", millicores=2000)
    cluster.wait_for(lambda: cluster.job("filler")["phases"].get("running", 0) > 10, "the VMs to fill")
    asked = lib.boot_ms()
    cluster.submit("urgent", 1, 300, "urgent", millicores=4000)
    finish(cluster, "urgent")
    starts = [a["started"] for _, _, h in cluster.all_histories() for a in h["attempts"] if a["job"] == "urgent"]
    expect(min(starts) - asked <= URGENT_LIMIT_MS, f"started after {min(starts) - asked} ms")
    cluster.cli("job", "cancel", "filler", check=True)


def manifest_everywhere(cluster):
    """A new manifest is in effect in every process within 9 s."""
    text = dict(cluster.manifest)
    text["tenants"] = [dict(t, quota=dict(t["quota"], accelerators=1)) for t in text["tenants"]]
    path = cluster.directory / "next.json"
    path.write_text(lib.json.dumps(text))
    before = max(cluster.status(n)["manifest_version"] for n in cluster.live_entries())
    cluster.cli("manifest", "publish", path, "--expect", before, check=True)

    def everywhere():
        versions = [cluster.status(n)["manifest_version"] for n in cluster.live_entries()]
        versions += [lib.http("GET", w.status_port, "/status")[1]["manifest_version"] for w in cluster.workers]
        return set(versions) == {before + 1}

    cluster.wait_for(everywhere, f"version {before + 1} everywhere", 9)


def graceful_stop(cluster):
    """A planned stop of an agent and of an entry must cut off no request in flight."""
    worker, entry = cluster.workers[3], cluster.live_entries()[-1]

    def stop():
        for process in (worker.agent, cluster.entries[entry]["process"]):
            process.signal(signal.SIGTERM)
            expect(process.wait() == 0, f"{process.name} did not stop gracefully")

    report = checked_load(cluster, "graceful", stop)
    expect(report["verdicts"].get("may_have_run", 0) == 0, f"requests were cut off: {report['verdicts']}")
    cluster.start_agent(worker)
    cluster.start_entry(entry)
    cluster.wait_for(cluster.all_replicas_serve, "the replica to be back", 60)


if __name__ == "__main__":
    sys.exit(process_case.run([
        killed_scheduler, frozen_scheduler, killed_agent, frozen_agent, replaced_vm, store_outage, lost_answers,
        departure_under_load, racing_operators, urgent_start, manifest_everywhere, graceful_stop]))
