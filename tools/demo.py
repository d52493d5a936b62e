"""Runs a deployment through requests, batch jobs and the departure of a data centre.

Exits with 1 if anything that must always hold did not.
"""

import argparse
import sys
import tempfile

import cluster as lib

MIXES = {
    "ladder": [
        {"method": "GET", "path": "/standings/league-1", "class": "standings", "weight": 6},
        {"method": "POST", "path": "/bookings", "class": "booking", "body_bytes": 200, "key": True, "weight": 2},
        {"method": "GET", "path": "/archive/2025", "class": "archive", "weight": 2},
    ],
    "tetoszin": [
        {"method": "GET", "path": "/shade/red-17", "class": "shade-check", "weight": 6},
        {"method": "POST", "path": "/shade", "class": "shade-check", "body_bytes": 2000, "key": True, "weight": 2},
        {"method": "POST", "path": "/orders", "class": "order", "body_bytes": 500, "key": True, "weight": 1},
    ],
}


def run(arguments, directory):
    cluster = lib.Cluster(directory, arguments.deployment, arguments.workers)
    try:
        print(f"starting {len(cluster.entries)} entries and {len(cluster.workers)} workers with agents")
        cluster.start()
        load = cluster.start_load(arguments.seconds, arguments.rate, MIXES[arguments.deployment])
        centre = cluster.centres[0]
        cluster.submit("demo-batch", 30, 2000)
        cluster.wait_for(lambda: cluster.job("demo-batch")["phases"].get("running", 0) > 0, "batch tasks to run")
        print(f"taking {centre} out of service")
        cluster.cli("dc", "out", centre, "--reason", "demo", check=True)
        cluster.wait_for(lambda: attempts_in(cluster, centre) == 0, f"{centre} to be empty", 60)
        print(f"returning {centre}")
        cluster.cli("dc", "return", centre, check=True)
        cluster.submit("demo-urgent", 1, 500, "urgent")
        cluster.wait_for(lambda: cluster.job_finished("demo-urgent"), "the urgent job", 60)
        cluster.wait_for(lambda: cluster.job_finished("demo-batch"), "the batch job", 120)
        cluster.wait_for(cluster.all_replicas_serve, "replicas to be back", 120)
        load.wait(arguments.seconds + 60)
        return report(cluster, centre)
    finally:
        cluster.stop()


def attempts_in(cluster, centre):
    status, body = lib.http("GET", cluster.entries[cluster.live_entries()[0]]["operators"], "/v1/dc")
    row = next(r for r in body["data_centres"] if r["name"] == centre)
    return row["attempts"] if status == 200 and body["scheduler_answered"] else None


def report(cluster, centre):
    load = cluster.load_report()
    histories = cluster.all_histories()
    commits = cluster.control_history()
    departures, starts = lib.check_departures(histories, commits)
    problems = (lib.check_attempts(histories) + departures + lib.check_manifest_versions(commits)
                + lib.check_requests(histories, cluster.load_records()))
    if load["wrong_answers"] or load["broken_answers"]:
        problems.append(f"{load['wrong_answers']} wrong and {load['broken_answers']} broken answers")
    attempts = [a for _, _, h in histories for a in h["attempts"]]
    ungraceful = cluster.stop_gracefully()
    problems += [f"{name} did not stop gracefully" for name in ungraceful]
    print("\nrequests by verdict:  ", load["verdicts"])
    for name, values in sorted(load["latency_us"].items()):
        print(f"latency of {name}, us:", values)
    print("batch tasks finished: ", sum(a["state"] == "finished" for a in attempts))
    print("attempts stopped early:", sum(a["state"] == "stopped" for a in attempts))
    print(f"starts in {centre} over {lib.START_LIMIT_MS} ms after it left: {len(departures)} (of {starts} checked)")
    for problem in problems[:20]:
        print("BROKEN:", problem)
    print("result:", "failed" if problems else "every promise held")
    return 1 if problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(MIXES), default="ladder")
    parser.add_argument("--workers", type=int, default=11)
    parser.add_argument("--seconds", type=int, default=30, help="length of the load")
    parser.add_argument("--rate", type=int, default=200, help="requests a second")
    parser.add_argument("--directory", help="for settings and logs; default: a temporary one")
    arguments = parser.parse_args()
    if arguments.directory:
        return run(arguments, arguments.directory)
    with tempfile.TemporaryDirectory() as directory:
        return run(arguments, directory)


if __name__ == "__main__":
    sys.exit(main())
