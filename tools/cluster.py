"""Starts a deployment of separate processes on loopback and checks what ran.

The checker reads the workers' own records and the platform's record of control
rows; it does not rely on the counters of the program under test.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
START_LIMIT_MS = 3000  # no start later than this after a data centre was taken out


def free_ports(count):
    """Ports that are free now; all are held open until every one is chosen."""
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def boot_ms():
    """CLOCK_BOOTTIME in milliseconds, the clock of the workers' records."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


def http(method, port, path, body=None, timeout=10):
    """Returns (status, parsed JSON or text)."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            status, text = reply.status, reply.read().decode()
    except urllib.error.HTTPError as error:
        status, text = error.code, error.read().decode()
    try:
        return status, json.loads(text)
    except json.JSONDecodeError:
        return status, text


class Process:
    """One child process with its log file."""

    def __init__(self, name, command, log_dir):
        self.name = name
        self.command = [str(part) for part in command]
        self.log = open(log_dir / f"{name}.log", "ab")
        self.child = subprocess.Popen(self.command, stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.child.send_signal(number)

    def wait(self, timeout=40):
        return self.child.wait(timeout)

    def kill(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


class Worker:
    """A worker stand-in with its agent."""

    def __init__(self, vm, data_centre, rack, ports):
        self.vm, self.data_centre, self.rack = vm, data_centre, rack
        self.port, self.peer_port, self.status_port = ports
        self.process = None
        self.agent = None


class Cluster:
    """Stand-ins for platform and workers, entries and agents of one deployment."""

    def __init__(self, directory, deployment="ladder", workers=11, build=ROOT / "build"):
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.build = pathlib.Path(build)
        self.program = self.build / "chiveglade"
        self.manifest_path = ROOT / "examples" / deployment / "manifest.json"
        self.manifest = json.loads(self.manifest_path.read_text())
        self.centres = [c["name"] for c in self.manifest["data_centres"]]
        self.capacity = self.manifest["largest_vm"]
        self.processes = []
        self.retired = []  # workers whose process was replaced: their last record
        ports = iter(free_ports(1 + 3 * len(self.centres) + 3 * workers))
        self.platform_port = next(ports)
        self.entries = {
            f"entry-{c}": {"centre": c, "callers": next(ports), "operators": next(ports), "peers": next(ports)}
            for c in self.centres
        }
        self.workers = []
        for i in range(workers):
            centre = self.centres[i % len(self.centres)]
            rack = f"{centre}-r{i // len(self.centres) // 3 + 1}"
            self.workers.append(Worker(f"{centre}-w{i}", centre, rack, [next(ports) for _ in range(3)]))

    # -- processes

    def spawn(self, name, command):
        process = Process(name, command, self.directory)
        self.processes.append(process)
        return process

    def start_platform(self):
        self.platform = self.spawn("platform", [self.build / "tools/platform_standin/platform_standin", "--port", self.platform_port])
        self.wait_for(lambda: self.up(self.platform_port, "/stats"), "platform")

    def start_entry(self, name):
        entry = self.entries[name]
        path = self.directory / f"{name}.json"
        address = f"127.0.0.1:{self.platform_port}"
        path.write_text(json.dumps({
            "name": name, "data_centre": entry["centre"],
            "caller_listen": f"127.0.0.1:{entry['callers']}",
            "operator_listen": f"127.0.0.1:{entry['operators']}",
            "peer_listen": f"127.0.0.1:{entry['peers']}",
            "table": [address], "object_store": [address]}))
        entry["process"] = self.spawn(name, [self.program, "entry", path])

    def start_worker(self, worker, extra=()):
        worker.process = self.spawn(f"{worker.vm}-worker", [
            self.build / "tools/worker_standin/worker_standin",
            "--listen", f"127.0.0.1:{worker.port}",
            "--object-store", f"127.0.0.1:{self.platform_port}",
            "--millicores", self.capacity["millicores"], "--memory-mib", self.capacity["memory_mib"],
            "--accelerators", self.capacity.get("accelerators", 0), *extra])
        self.wait_for(lambda: self.up(worker.port, "/history"), worker.vm)

    def start_agent(self, worker):
        path = self.directory / f"{worker.vm}.json"
        path.write_text(json.dumps({
            "vm": worker.vm, "data_centre": worker.data_centre, "rack": worker.rack,
            "peer_listen": f"127.0.0.1:{worker.peer_port}",
            "status_listen": f"127.0.0.1:{worker.status_port}",
            "worker": f"127.0.0.1:{worker.port}",
            "entries": [f"127.0.0.1:{e['peers']}" for e in self.entries.values()],
            "capacity": self.capacity}))
        worker.agent = self.spawn(f"{worker.vm}-agent", [self.program, "agent", path])

    def replace_worker(self, worker):
        """Kills a VM (worker and agent) and starts it anew with empty memory."""
        self.retired.append((worker.vm, worker.data_centre, self.history(worker)))
        worker.agent.kill()
        worker.process.kill()
        end = boot_ms()
        for attempt in self.retired[-1][2]["attempts"]:
            attempt["ended"] = attempt["ended"] or end
        self.start_worker(worker)
        self.start_agent(worker)

    def start(self, publish=True):
        self.start_platform()
        for name in self.entries:
            self.start_entry(name)
        for worker in self.workers:
            self.start_worker(worker)
            self.start_agent(worker)
        self.wait_for(lambda: self.scheduler() is not None, "a scheduler")
        if publish:
            self.cli("manifest", "publish", self.manifest_path, "--expect", 0, check=True)
            self.wait_for(self.all_replicas_serve, "all replicas", 60)

    def stop(self):
        """Ends everything that is left, without grace."""
        for process in reversed(self.processes):
            if process.child.poll() is None:
                process.signal(signal.SIGCONT)
            process.kill()

    def stop_gracefully(self):
        """SIGTERM to agents and entries; returns the names that did not exit with 0."""
        roles = [w.agent for w in self.workers] + [e["process"] for e in self.entries.values()]
        live = [p for p in roles if p is not None and p.child.poll() is None]
        for process in live:
            process.signal(signal.SIGTERM)
        return [p.name for p in live if p.wait() != 0]

    # -- questions

    @staticmethod
    def up(port, path):
        try:
            return http("GET", port, path, timeout=2)[0] == 200
        except OSError:
            return False

    @staticmethod
    def wait_for(condition, what, seconds=30):
        """Waits for a condition; the limit is a failure, not a pause."""
        end = time.monotonic() + seconds
        while True:
            try:
                if value := condition():
                    return value
            except (OSError, ValueError, KeyError, AttributeError, TypeError):
                pass
            if time.monotonic() > end:
                raise AssertionError(f"waited {seconds} s in vain for {what}")
            time.sleep(0.05)

    def operators(self):
        return ",".join(f"127.0.0.1:{e['operators']}" for e in self.entries.values())

    def cli(self, *arguments, check=False):
        """Runs an operator's command; returns (exit code, standard output)."""
        environment = dict(os.environ, CHIVEGLADE_ENTRY=self.operators(), CHIVEGLADE_OPERATOR="demo")
        done = subprocess.run([str(self.program), *map(str, arguments)], env=environment, capture_output=True,
                              text=True, timeout=60, check=False)
        if check and done.returncode != 0:
            raise AssertionError(f"chiveglade {arguments} ended with {done.returncode}: {done.stderr}{done.stdout}")
        return done.returncode, done.stdout + done.stderr

    def status(self, name):
        return http("GET", self.entries[name]["operators"], "/status", timeout=3)[1]

    def live_entries(self):
        return [n for n, e in self.entries.items() if e.get("process") and e["process"].child.poll() is None]

    def scheduler(self):
        """The entry that holds the scheduler role, or None."""
        for name in self.live_entries():
            try:
                if self.status(name)["scheduler"]["holds"]:
                    return name
            except OSError:
                pass
        return None

    def all_replicas_serve(self):
        services = {s["name"]: s["replicas"] for s in self.manifest["services"]}
        for name in self.live_entries():
            targets = self.status(name)["targets"]
            for service, replicas in services.items():
                if sum(t["in_service"] for t in targets[service]) < min(replicas, len(self.workers)):
                    return False
        return True

    def job(self, name):
        for entry in self.live_entries():
            status, body = http("GET", self.entries[entry]["operators"], f"/v1/jobs/{name}")
            if status == 200:
                return body["jobs"][0]
        return None

    def job_finished(self, name):
        job = self.job(name)
        return job is not None and set(job["phases"]) <= {"finished"}

    def submit(self, name, tasks, run_ms, priority="normal", klass=None, millicores=1000, memory=512):
        spec = {"name": name, "tenant": self.manifest["tenants"][0]["name"],
                "class": klass or self.manifest["classes"][1]["name"], "priority": priority, "tasks": tasks,
                "per_task": {"millicores": millicores, "memory_mib": memory},
                "payload": json.dumps({"run_ms": run_ms})}
        path = self.directory / f"{name}.job.json"
        path.write_text(json.dumps(spec))
        return self.cli("job", "submit", path)

    def history(self, worker):
        return http("GET", worker.port, "/history", timeout=30)[1]

    def all_histories(self):
        live = [(w.vm, w.data_centre, self.history(w)) for w in self.workers if w.process.child.poll() is None]
        return self.retired + live

    def control_history(self):
        import base64
        commits = http("GET", self.platform_port, "/history")[1]["commits"]
        for commit in commits:
            if commit["value"] is not None:
                commit["value"] = base64.b64decode(commit["value"]).decode()
        return commits

    # -- load

    def start_load(self, seconds, rate, mix, name="load"):
        mix_path = self.directory / f"{name}.mix.json"
        mix_path.write_text(json.dumps(mix))
        command = [self.build / "tools/load/load", "--rate", rate, "--seconds", seconds, "--connections", 256,
                   "--mix", mix_path, "--record", self.directory / f"{name}.record", "--id-prefix", name,
                   "--body-has-id"]
        for entry in self.entries.values():
            command += ["--target", f"127.0.0.1:{entry['callers']}"]
        out = open(self.directory / f"{name}.out", "wb")
        return subprocess.Popen([str(c) for c in command], stdout=out, stderr=subprocess.STDOUT)

    def load_report(self, name="load"):
        text = (self.directory / f"{name}.out").read_text()
        return json.loads(text[text.index("{"):])

    def load_records(self, name="load"):
        path = self.directory / f"{name}.record"
        fields = ("id", "key", "verdict", "status")
        return [dict(zip(fields, line.split(" "))) for line in path.read_text().splitlines() if line]


# -- checks over what really ran

def check_attempts(histories):
    """No task in two places at once, each task finished at most once, no VM above its size."""
    problems, by_task = [], {}
    for vm, _, history in histories:
        problems += [f"{vm}: {v}" for v in history["violations"]]
        for attempt in history["attempts"]:
            by_task.setdefault((attempt["job"], attempt["index"]), []).append((vm, attempt))
    for task, attempts in by_task.items():
        attempts.sort(key=lambda item: item[1]["started"])
        finished = [a for _, a in attempts if a["state"] == "finished"]
        if len(finished) > 1:
            problems.append(f"{task}: finished {len(finished)} times")
        for (vm_a, a), (vm_b, b) in zip(attempts, attempts[1:]):
            if a["ended"] == 0 or a["ended"] > b["started"]:
                problems.append(f"{task}: attempt {a['attempt']} on {vm_a} overlaps {b['attempt']} on {vm_b}")
            if a["attempt"] >= b["attempt"]:
                problems.append(f"{task}: attempt {b['attempt']} follows {a['attempt']}")
    return problems


def check_departures(histories, commits):
    """No start in a data centre more than START_LIMIT_MS after it was taken out."""
    problems, intervals = [], {}
    for commit in commits:
        if not commit["key"].startswith("dc/"):
            continue
        centre = commit["key"][3:]
        out = json.loads(commit["value"]).get("state") == "out"
        spans = intervals.setdefault(centre, [])
        if out:
            spans.append([commit["boot_ms"], None])
        elif spans and spans[-1][1] is None:
            spans[-1][1] = commit["boot_ms"]
    starts_checked = 0
    for vm, centre, history in histories:
        for attempt in history["attempts"]:
            for begin, end in intervals.get(centre, []):
                starts_checked += 1
                if begin + START_LIMIT_MS < attempt["started"] and (end is None or attempt["started"] < end):
                    problems.append(f"{vm}: {attempt['job']}/{attempt['index']} started "
                                    f"{attempt['started'] - begin} ms after {centre} was taken out")
    return problems, starts_checked


def check_manifest_versions(commits):
    """Accepted manifest versions grow by one."""
    problems, last = [], 0
    for commit in commits:
        if commit["key"] == "manifest/pointer":
            version = json.loads(commit["value"])["publications"][0]["version"]
            if version != last + 1:
                problems.append(f"manifest version {version} follows {last}")
            last = version
    return problems


def check_requests(histories, records):
    """Compares what callers were told with what the replicas executed."""
    problems, executions, keys = [], {}, {}
    for _, _, history in histories:
        for request in history["requests"]:
            executions[request["request_id"]] = executions.get(request["request_id"], 0) + 1
            if request["idempotency_key"]:
                keys[request["idempotency_key"]] = keys.get(request["idempotency_key"], 0) + 1
    for key, count in keys.items():
        if count > 1:
            problems.append(f"key {key} was executed {count} times")
    for record in records:
        ran = executions.get(record["id"], 0)
        verdict = record["verdict"]
        if verdict == "not_run" and ran > 0:
            problems.append(f"request {record['id']} was refused with not_run and ran")
        if verdict == "ran" and ran == 0:
            problems.append(f"request {record['id']} was answered and no replica ran it")
    return problems
