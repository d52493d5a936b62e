"""Common part of the tests between real processes."""

import argparse
import pathlib
import sys
import tempfile
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

import cluster as lib  # noqa: E402

MIX = [
    {"method": "GET", "path": "/standings/1", "class": "standings", "weight": 5},
    {"method": "POST", "path": "/bookings", "class": "booking", "body_bytes": 200, "key": True, "weight": 2},
    {"method": "POST", "path": "/results", "class": "booking", "body_bytes": 100, "weight": 1},
    {"method": "GET", "path": "/archive/1", "class": "archive", "weight": 2},
]


def check_everything(cluster, loads=()):
    """Every check over what really ran; returns the problems."""
    histories = cluster.all_histories()
    commits = cluster.control_history()
    records = [record for name in loads for record in cluster.load_records(name)]
    problems = lib.check_attempts(histories) + lib.check_departures(histories, commits)[0]
    problems += lib.check_manifest_versions(commits) + lib.check_requests(histories, records)
    for name in loads:
        report = cluster.load_report(name)
        if report["wrong_answers"] or report["broken_answers"]:
            problems.append(f"{name}: wrong or broken answers: {report}")
    return problems


def run(steps, workers=6):
    """Runs the steps on one cluster; each is a function of the cluster."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=lib.ROOT / "build")
    parser.add_argument("--directory")
    arguments = parser.parse_args()
    failed = 0
    with tempfile.TemporaryDirectory() as temporary:
        cluster = lib.Cluster(arguments.directory or temporary, "ladder", workers, arguments.build)
        try:
            cluster.start()
            for step in steps:
                try:
                    step(cluster)
                    print(f"passed: {step.__name__}", flush=True)
                except Exception:  # every step is tried, all failures are shown
                    failed += 1
                    print(f"FAILED: {step.__name__}: {step.__doc__}\n{traceback.format_exc()}", flush=True)
        finally:
            cluster.stop()
    print(f"{len(steps) - failed} passed, {failed} failed")
    return 1 if failed else 0
