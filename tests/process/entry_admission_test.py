"""Clients that nobody controls, against an entry and an agent on loopback.

The checks are those of admission_test.py: the processes live, their memory and descriptors stay under a bound, and an
ordinary request is answered afterwards.
"""

import argparse
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import admission_test as base  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parents[2]
PEER_REQUEST = base.http2_fields([(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"a"),
                                  (b":path", b"/heartbeat")])
PROXIED_REQUEST = base.http2_fields([(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"a"),
                                     (b":path", b"/results"), (b"chiveglade-service", b"ladder")])


class StandIn(base.Process):
    def __init__(self, name, command, directory):
        self.start(name, command, directory)


class System:
    """A platform, a worker, an entry and an agent; nothing is published."""

    def __init__(self, program, known, directory):
        names = ["platform", "worker", "caller", "operator", "peer", "agent_peer", "agent_status"]
        self.ports = dict(zip(names, base.free_ports(len(names)), strict=True))
        tools = pathlib.Path(program).parent / "tools"

        def at(name):
            return f"127.0.0.1:{self.ports[name]}"

        self.stand_ins = [
            StandIn("platform", [tools / "platform_standin/platform_standin", "--port", self.ports["platform"]],
                    directory),
            StandIn("worker", [tools / "worker_standin/worker_standin", "--listen", at("worker"), "--object-store",
                               at("platform"), "--millicores", 16000, "--memory-mib", 64000, "--accelerators", 0],
                    directory)]
        base.wait_for(lambda: base.answer(self.ports["platform"], "GET", "/stats") == 200, "the platform")
        self.entry = base.Process(program, "entry", {
            "name": "e0", "data_centre": "z0", "caller_listen": at("caller"), "operator_listen": at("operator"),
            "peer_listen": at("peer"), "table": [at("platform")], "object_store": [at("platform")]}, known, directory)
        self.agent = base.Process(program, "agent", {
            "vm": "vm-0", "data_centre": "z0", "rack": "r0", "peer_listen": at("agent_peer"),
            "status_listen": at("agent_status"), "worker": at("worker"), "entries": [at("peer")],
            "capacity": {"millicores": 16000, "memory_mib": 64000}}, known, directory)
        self.processes = [self.entry, self.agent]

    def wait_ready(self):
        base.wait_for(lambda: base.answer(self.ports["operator"], "GET", "/healthz") == 200, "the entry")
        base.wait_for(lambda: base.answer(self.ports["agent_status"], "GET", "/healthz") == 200, "the agent")

    def stop(self):
        for process in self.processes + self.stand_ins:
            process.stop()


def any_path(number):
    return f"/v1/manifest?by=someone&n={number}"


def operators_answer(system):
    return base.answer(system.ports["operator"], "GET", "/healthz") == 200 and base.answer(
        system.ports["agent_status"], "GET", "/healthz") == 200


def bodies_at_the_operators_ports(system):
    """Neither the number of these connections nor the sum of their bodies was limited."""
    clients = []
    for name in ("operator", "agent_status"):
        port = system.ports[name]
        clients += base.stops_short_in_chunks(port, "POST", any_path, 2 * base.MIB, 64 * base.KIB, 30)
        clients += base.stops_one_byte_short(port, "POST", any_path, 2 * base.MIB, 30)
    base.play(system, clients)
    base.check(system, clients, lambda: operators_answer(system))


def bodies_of_peers_stop_short(system):
    """Many streams hold their bodies on few connections."""
    clients = base.http2_stops_short(system.ports["peer"], 20, 64, PEER_REQUEST)
    clients += base.http2_stops_short(system.ports["agent_peer"], 20, 64, PROXIED_REQUEST)
    base.play(system, clients)
    base.check(system, clients, lambda: operators_answer(system) and base.http2_answer(system.ports["peer"])
               and base.http2_answer(system.ports["agent_peer"]))


def idle_connections_on_every_port(system):
    """Connections that say nothing must leave descriptors for the store, agents and the worker."""
    names = ("caller", "operator", "peer", "agent_peer", "agent_status")
    clients = [base.Client(system.ports[name], []) for _ in range(300) for name in names]
    base.play(system, clients)
    base.check(system, clients, lambda: operators_answer(system) and base.http2_answer(system.ports["agent_peer"]))


def callers_bodies_stop_short(system):
    """Requests of callers to an entry that has no target for them."""
    port = system.ports["caller"]
    clients = base.stops_short_in_chunks(port, "POST", base.job_path, 2 * base.MIB, 64 * base.KIB, 100)
    clients += base.stops_one_byte_short(port, "POST", base.job_path, 2 * base.MIB, 100)
    base.play(system, clients)
    base.check(system, clients, lambda: operators_answer(system) and base.answer(port, "GET", "/") is not None)


CASES = [bodies_at_the_operators_ports, bodies_of_peers_stop_short, idle_connections_on_every_port,
         callers_bodies_stop_short]


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=ROOT / "build")
    parser.add_argument("--case", action="append", help="only this case")
    arguments = parser.parse_args()
    return base.run_cases(CASES, arguments.build, arguments.case, System)


if __name__ == "__main__":
    sys.exit(main())
