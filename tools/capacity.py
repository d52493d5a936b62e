"""Measures what agents and entries cost at three numbers of workers, and the slopes.

Processor time and memory come from /proc, bytes from the kernel's TCP counters.
Usage: python3 tools/capacity.py [--workers 12,48,96] [--seconds 15]
"""

import argparse
import os
import re
import subprocess
import tempfile
import time

import cluster as lib

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(pid):
    fields = open(f"/proc/{pid}/stat", encoding="ascii").read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_kib(pid):
    for line in open(f"/proc/{pid}/status", encoding="ascii"):
        if line.startswith("VmRSS:"):
            return int(line.split()[1])
    return 0


def tcp_bytes(pids, ports):
    """Bytes (sent, received) by process on connections to the given remote ports."""
    text = subprocess.run(["ss", "-tinpH", "state", "established"], capture_output=True, text=True, check=True).stdout
    totals = {pid: [0, 0] for pid in pids}
    lines = text.split("\n")
    for head, info in zip(lines, lines[1:]):
        owner = re.search(r"pid=(\d+)", head)
        if not owner or int(owner.group(1)) not in totals:
            continue
        remote = int(head.split()[3].rsplit(":", 1)[1])
        if remote in ports:
            for i, name in enumerate(("bytes_sent", "bytes_received")):
                found = re.search(rf"{name}:(\d+)", info)
                totals[int(owner.group(1))][i] += int(found.group(1)) if found else 0
    return totals


def measure(workers, seconds, tasks_per_worker):
    with tempfile.TemporaryDirectory() as directory:
        cluster = lib.Cluster(directory, "ladder", workers)
        try:
            cluster.start()
            cluster.submit("steady", workers * tasks_per_worker, 3_600_000, "normal", millicores=50, memory=64)
            cluster.wait_for(lambda: cluster.job("steady")["phases"].get("running", 0) == workers * tasks_per_worker,
                             "the tasks to run", 120)
            agents = [w.agent.child.pid for w in cluster.workers]
            entries = {n: e["process"].child.pid for n, e in cluster.entries.items()}
            ports = {e["peers"] for e in cluster.entries.values()}
            holder = cluster.scheduler()
            before = {p: cpu_seconds(p) for p in agents + list(entries.values())}
            sent = tcp_bytes(agents, ports)
            stats = lib.http("GET", cluster.platform_port, "/stats")[1]
            begin = time.monotonic()
            time.sleep(seconds)  # the length of the measurement
            span = time.monotonic() - begin
            after = {p: cpu_seconds(p) for p in before}
            sent_after = tcp_bytes(agents, ports)
            stats_after = lib.http("GET", cluster.platform_port, "/stats")[1]

            def core(pids):
                return sum(after[p] - before[p] for p in pids) / span / len(pids) * 100

            others = [p for n, p in entries.items() if n != holder]
            return {
                "workers": workers,
                "agent % of a core": core(agents),
                "agent MiB": max(map(memory_kib, agents)) / 1024,
                "agent B/s sent": sum(sent_after[p][0] - sent[p][0] for p in agents) / span / workers,
                "agent B/s received": sum(sent_after[p][1] - sent[p][1] for p in agents) / span / workers,
                "scheduler % of a core": core([entries[holder]]),
                "scheduler MiB": memory_kib(entries[holder]) / 1024,
                "other entry % of a core": core(others),
                "other entry MiB": max(map(memory_kib, others)) / 1024,
                "table rows written/s": (stats_after["rows_written"] - stats["rows_written"]) / span,
                "table reads/s": (stats_after["reads"] + stats_after["scans"] - stats["reads"] - stats["scans"]) / span,
            }
        finally:
            cluster.stop()


def measure_requests(rate, seconds):
    """Processor time of entries and agents for each forwarded request."""
    mix = [{"method": "GET", "path": "/standings/1", "class": "standings"}]
    with tempfile.TemporaryDirectory() as directory:
        cluster = lib.Cluster(directory, "ladder", 11)
        try:
            cluster.start()
            entries = [e["process"].child.pid for e in cluster.entries.values()]
            agents = [w.agent.child.pid for w in cluster.workers]
            before = {p: cpu_seconds(p) for p in entries + agents}
            cluster.start_load(seconds, rate, mix).wait()
            report = cluster.load_report()
            used = {p: cpu_seconds(p) - before[p] for p in before}
            count = report["requests"]
            print(f"\n{count} requests at {rate}/s: {report['verdicts']}, {report['latency_us']}")
            print(f"entry {sum(used[p] for p in entries) / count * 1e6:.0f} us of processor time a request, "
                  f"{count / max(sum(used[p] for p in entries), 1e-9):.0f} requests a second and core; "
                  f"agent {sum(used[p] for p in agents) / count * 1e6:.0f} us a request")
        finally:
            cluster.stop()


def line(xs, ys):
    """Least squares: (slope, intercept, r squared)."""
    n, mx, my = len(xs), sum(xs) / len(xs), sum(ys) / len(ys)
    sxx = sum((x - mx) ** 2 for x in xs)
    sxy = sum((x - mx) * (y - my) for x, y in zip(xs, ys))
    syy = sum((y - my) ** 2 for y in ys)
    slope = sxy / sxx
    return slope, my - slope * mx, (sxy * sxy / (sxx * syy) if syy > 0 and n > 2 else 1.0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", default="12,48,96")
    parser.add_argument("--seconds", type=int, default=15)
    parser.add_argument("--tasks", type=int, default=17, help="batch tasks on each worker")
    parser.add_argument("--rate", type=int, default=2000, help="requests a second")
    arguments = parser.parse_args()
    sizes = [int(n) for n in arguments.workers.split(",")]
    rows = [measure(n, arguments.seconds, arguments.tasks) for n in sizes]
    names = list(rows[0])
    print("| " + " | ".join(names) + " |\n|" + " --- |" * len(names))
    for row in rows:
        print("| " + " | ".join(f"{row[n]:.2f}" if n != "workers" else str(row[n]) for n in names) + " |")
    print("\n| figure | slope per worker | at 0 | r squared | at 670 |\n| --- | --- | --- | --- | --- |")
    for name in names[1:]:
        slope, base, straight = line(sizes, [row[name] for row in rows])
        print(f"| {name} | {slope:.4f} | {base:.2f} | {straight:.3f} | {base + slope * 670:.1f} |")
    measure_requests(arguments.rate, 10)


if __name__ == "__main__":
    main()
