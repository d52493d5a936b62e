"""Callers that hand in more valid work than a gateway can hold.

The jobs of each case are within every limit of a single request. Each case checks that the processes live, that their
resident memory and open descriptors stay under a bound, that what was accepted is still known and what was refused is
not, that a refusal says that nothing ran and when to come again, and that a small job is accepted afterwards. Nothing
depends on how fast the machine is.
"""

import argparse
import collections
import http.client
import itertools
import json
import pathlib
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import admission_test as base  # noqa: E402

# Far below the share of a VM, so that few jobs exceed it.
base.LOWERED["accepted_jobs_kb"] = 8 * base.KIB
CALLERS = 30


def job(steps):
    return json.dumps({"spec": "{}", "steps": steps}).encode()


def step(**fields):
    return {"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100, "image": "app", **fields}


MANY_TASKS = job([step(count=1000)])
MANY_STEPS = job([step(image="i" * 200) for _ in range(120)])
UNLIMITED_STEPS = job([{"count": 1} for _ in range(1000)])
TOO_LARGE_FOR_VMS = job([step(count=1000, mem_mb=1_000_000_000)])
NO_DEMAND = job([{"count": 1000, "image": "app"}])


class Worker(ThreadingHTTPServer):
    """A worker of 16 cores that runs everything it is told to start until it is stopped."""

    daemon_threads = True

    def __init__(self, port):
        self.lock = threading.Lock()
        self.running = {}  # task -> run
        self.most_running = 0
        self.ended = []
        super().__init__(("127.0.0.1", port), WorkerHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        """A runner that is stopped leaves calls behind; the cases judge what matters."""

    def call(self, path, body):
        out = {"clock_ms": int(time.monotonic() * 1000), "born": 1}
        with self.lock:
            if path == "/run-start":
                self.running[body["task"]] = body["run"]
                self.most_running = max(self.most_running, len(self.running))
            elif path == "/run-stop" and self.running.pop(body["task"], None):
                self.ended.append([len(self.ended) + 1, body["task"], body["run"], "stopped", ""])
            elif path == "/hold":
                out["running"] = [[task, run, "", 0, 0] for task, run in self.running.items()]
                out["ended"] = [end for end in self.ended if end[0] > body.get("ack_cursor", 0)][:500]
        return out


class WorkerHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def do_POST(self):
        body = json.loads(self.rfile.read(int(self.headers.get("content-length", 0))) or b"{}")
        data = json.dumps(self.server.call(self.path, body)).encode()
        self.send_response(200)
        self.send_header("content-type", "application/json")
        self.send_header("content-length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class System(base.System):
    """Optionally with a second gateway, and with a worker beside the runner."""

    def __init__(self, program, known, directory):
        super().__init__(program, known, directory)
        self.program, self.known, self.directory = program, known, directory
        self.worker = None
        self.stopped = threading.Event()

    def add_gateway(self):
        names = ["caller", "ready", "peer", "metrics"]
        at = dict(zip(names, base.free_ports(len(names)), strict=True))
        settings = {"name": "g1", "data_centre": "z0", "store": [f"127.0.0.1:{self.store.port}"]}
        settings |= {f"{name}_listen": f"127.0.0.1:{port}" for name, port in at.items()}
        directory = self.directory / "second"
        directory.mkdir()
        gateway = base.Process(self.program, "gateway", settings, self.known, directory)
        self.processes.append(gateway)
        base.wait_for(lambda: base.answer(at["ready"], "GET", "/") == 200, "the second gateway to be ready")
        return gateway, at

    def add_worker(self):
        self.worker = Worker(self.ports["worker"])

        def beat():
            while not self.stopped.wait(0.5):
                base.answer(self.ports["beat"], "PUT", base.HEARTBEAT_PATH, base.heartbeat())

        threading.Thread(target=beat, daemon=True).start()
        wait_until_runs(self, self.ports["caller"], "00000000000000fe")

    def coordinator_is(self, port, name):
        status = ask(port, "GET", "/status")
        return status.status == 200 and json.loads(status.body)["coordinator"] == name

    def stop(self):
        self.stopped.set()
        if self.worker:
            self.worker.shutdown()
            self.worker.server_close()
        super().stop()


Answer = collections.namedtuple("Answer", "status fields body")


def call(connection, method, path, body=None):
    connection.request(method, path, body, {"Host": "jobs.example", "X-Deadline-Ms": "3000"})
    reply = connection.getresponse()
    return Answer(reply.status, dict((k.lower(), v) for k, v in reply.getheaders()), reply.read())


def ask(port, method, path, body=None):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=base.PATIENCE_S)
    try:
        return call(connection, method, path, body)
    finally:
        connection.close()


class Crowd:
    """Callers that send one request at a time each; keeps what they were told."""

    def __init__(self, port, callers=CALLERS):
        self.port = port
        self.callers = callers
        self.accepted, self.refused, self.unknown = [], [], []
        self.problems = []

    def each(self, work):
        """Runs `work(connection, number)` for each caller on a thread of its own."""

        def run(number):
            connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=base.PATIENCE_S)
            work(connection, number)
            connection.close()

        threads = [threading.Thread(target=run, args=(number,)) for number in range(self.callers)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def submit(self, body, jobs, first=0):
        def work(connection, number):
            for n in range(jobs):
                name = f"{(number * 7 + n) % 16:x}{first + number * jobs + n:015x}"
                try:
                    reply = call(connection, "POST", f"/jobs/{name}", body)
                except (OSError, http.client.HTTPException):
                    connection.close()
                    self.unknown.append(name)
                    continue
                if reply.status == 200:
                    self.accepted.append(name)
                elif reply.status in (429, 503):
                    self.refused.append(name)
                    if not reply.fields.get("retry-after", "").isdigit():
                        self.problems.append(f"no Retry-After with {reply.status}: {reply.body}")
                    if b"not_run" not in reply.body:
                        self.problems.append(f"no verdict with {reply.status}: {reply.body}")
                else:
                    self.unknown.append(name)

        self.each(work)
        print(f"  {len(self.accepted)} accepted, {len(self.refused)} refused, {len(self.unknown)} unknown", flush=True)

    def cancel(self):
        pending = collections.deque(self.accepted)

        def work(connection, _):
            while pending:
                try:
                    name = pending.popleft()
                except IndexError:
                    return
                base.wait_for(lambda name=name: call(connection, "DELETE", f"/jobs/{name}").status in (200, 410),
                              f"the cancellation of {name}")

        self.each(work)
        self.accepted.clear()

    def check(self, port=None):
        """What was accepted is known, and what was refused is not."""
        port = port or self.port
        assert not self.problems, self.problems[:3]
        for names, expected in ((self.accepted, 200), (self.refused[:200], 410)):
            for name in names:
                base.wait_for(lambda name=name, expected=expected: ask(port, "GET", f"/jobs/{name}").status == expected,
                              f"the answer {expected} for {name}")


def wait_until_runs(system, port, name):
    """A small job is accepted, starts, and is cancelled."""
    base.wait_for(lambda: ask(port, "POST", f"/jobs/{name}", base.JOB).status == 200, "a small job to be accepted")
    base.wait_for(lambda: json.loads(ask(port, "GET", f"/jobs/{name}").body).get("state") == "running"
                  and any(task.startswith(name) for task in list(system.worker.running)), "a small job to run")
    base.wait_for(lambda: ask(port, "DELETE", f"/jobs/{name}").status == 200, "a small job to be cancelled")


def finish(system, crowd):
    crowd.check()
    base.check(system, [], base.job_is_taken(system))


def jobs_of_many_tasks(system):
    """Nothing bounded the memory of accepted jobs, which takes about 75 bytes for each of their tasks."""
    crowd = Crowd(system.ports["caller"])
    crowd.submit(MANY_TASKS, 60)
    finish(system, crowd)


def jobs_of_many_steps(system):
    """The same with steps, each of which takes a few hundred bytes."""
    crowd = Crowd(system.ports["caller"])
    crowd.submit(MANY_STEPS, 60)
    finish(system, crowd)


def jobs_through_another_gateway(system):
    """The coordinator holds what other gateways accept, and its successor must hold it too."""
    base.wait_for(lambda: system.coordinator_is(system.ports["metrics"], "g0"), "g0 to coordinate")
    _, ports = system.add_gateway()
    crowd = Crowd(ports["caller"])
    crowd.submit(MANY_TASKS, 60)
    finish(system, crowd)
    system.processes.remove(system.gateway)
    system.gateway.stop()
    base.wait_for(lambda: system.coordinator_is(ports["metrics"], "g1"), "g1 to coordinate")
    crowd.check()
    base.check(system, [], lambda: base.answer(ports["caller"], "POST", "/jobs/00000000000000ff", base.JOB) == 200)


def rounds_of_cancelled_jobs(system):
    """What a job leaves behind when it has ended must not add up."""
    for number in range(6):
        crowd = Crowd(system.ports["caller"])
        crowd.submit(MANY_TASKS, 20, first=number * 1_000_000)
        crowd.check()
        crowd.cancel()
    base.check(system, [], base.job_is_taken(system))


def submissions_that_wait_for_the_store(system):
    """Each one held its decoded steps, 20 times the length of its body, until the store answered."""
    with system.store.state.changed:  # the store answers nothing meanwhile
        clients = [base.Client(system.ports["caller"], [(base.request("POST", f"/jobs/{n:016x}", UNLIMITED_STEPS), 1)])
                   for n in range(300)]
        base.play(system, clients)
        time.sleep(1)  # for the handlers to reach the store; no check depends on it
    base.check(system, clients, base.job_is_taken(system))


def jobs_that_no_vm_can_run(system):
    """A task that needs more than any VM has waited for ever, and its job stayed in memory."""
    system.add_worker()
    crowd = Crowd(system.ports["caller"])
    # The coordinator must have heard of the VM for some time before it can tell.
    numbers = itertools.count(0xfff000)
    base.wait_for(lambda: b"no VM" in ask(system.ports["caller"], "POST", f"/jobs/{next(numbers):016x}",
                                          job([step(mem_mb=1_000_000_000)])).body, "a refusal that names the VMs")
    crowd.submit(TOO_LARGE_FOR_VMS, 60)
    assert not crowd.accepted, f"{len(crowd.accepted)} jobs were accepted that no VM can run"
    finish(system, crowd)
    wait_until_runs(system, system.ports["caller"], "00000000000000fc")


def tasks_without_demand(system):
    """Any number of tasks that ask for nothing fitted on one VM, until its runner's report was too long to send."""
    system.add_worker()
    crowd = Crowd(system.ports["caller"])
    crowd.submit(NO_DEMAND, 2)
    finish(system, crowd)
    crowd.cancel()
    wait_until_runs(system, system.ports["caller"], "00000000000000fc")
    print(f"  at most {system.worker.most_running} tasks on one VM", flush=True)
    assert system.worker.most_running <= MAX_RUNS_PER_VM, f"{system.worker.most_running} tasks ran on one VM"


# Of the workflow module's kMaxRunsPerVm; a report of so many runs fits into one message.
MAX_RUNS_PER_VM = 1000

CASES = [jobs_of_many_tasks, jobs_of_many_steps, jobs_through_another_gateway, rounds_of_cancelled_jobs,
         submissions_that_wait_for_the_store, jobs_that_no_vm_can_run, tasks_without_demand]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=pathlib.Path(__file__).resolve().parents[2] / "build")
    parser.add_argument("--case", action="append", help="only this case")
    arguments = parser.parse_args()
    return base.run_cases(CASES, arguments.build, arguments.case, System)


if __name__ == "__main__":
    sys.exit(main())
