"""Clients that nobody controls, against a gateway and a runner on loopback.

Each case starts its own processes, opens a fixed set of clients, and checks that the process lives, that its resident
memory and its open descriptors stay under a bound, and that an ordinary request is answered afterwards. Nothing depends
on how fast the machine is: no case checks a time or a share of served requests.
"""

import argparse
import collections
import contextlib
import json
import os
import pathlib
import selectors
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import platform_store  # noqa: E402

KIB = 1024
MIB = 1024 * 1024
# A limit for the waits of the test itself; no check depends on it.
PATIENCE_S = 60
# Settings of every process here. The budget is far below that of a VM, so that few clients exceed it.
LOWERED = {"memory_mb": 128, "max_fds": 512, "receive_budget_kb": 8 * KIB}
# Idle processes have 9 MiB. The budget, what one read adds to it, and what the allocator keeps fit into the rest.
MEMORY_BOUND = 48 * MIB
# Equals max_fds: sockets that are being closed count too.
DESCRIPTOR_BOUND = 512

HEAD = "{method} {path} HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 3000\r\n"
JOB_PATH = "/jobs/00000000000000{:02x}"
HEARTBEAT_PATH = "/instances/i-0"


def heartbeat(size=0):
    """A heartbeat; `size` bytes long if that is longer than it needs to be."""
    value = {"service": "app-0", "address": "127.0.0.1:9", "zone": "z0", "version": "v1", "slots": 8, "state": "ready",
             "cold_left_ms": 0, "capacity": {"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": ["a", "r0"],
             "clock_ms": 1000, "born": 1, "sequence": 1}
    text = json.dumps(value)
    return (text[:-1] + " " * max(0, size - len(text)) + "}").encode()


JOB = json.dumps({"spec": "{}", "steps": [{"count": 1, "cpu": 1000, "mem_mb": 100, "estimate_ms": 100,
                                           "image": "app"}]}).encode()


def free_ports(count):
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]


class Process:
    """One process of the system and what the kernel says of it."""

    def __init__(self, program, role, settings, known, directory):
        path = directory / f"{role}.json"
        path.write_text(json.dumps({**settings, **{k: v for k, v in LOWERED.items() if f"`/{k}`" in known[role]}}))
        self.start(role, [program, role, path], directory)

    def start(self, role, command, directory):
        self.role = role
        with open(directory / f"{role}.log", "wb") as log:
            self.child = subprocess.Popen([str(part) for part in command], stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        self.descriptors = 0

    def alive(self):
        return self.child.poll() is None

    def sample(self):
        with contextlib.suppress(OSError):  # it has ended; alive() says so
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.child.pid}/fd")))

    def peak_memory(self):
        for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().split("\n"):
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * KIB
        raise AssertionError(f"{self.role} has ended with {self.child.poll()}")

    def stop(self):
        self.child.kill()
        self.child.wait()


class System:
    def __init__(self, program, known, directory):
        self.store = platform_store.Store()
        self.store.configure()
        names = ["caller", "ready", "peer", "metrics", "beat", "worker", "runner_peer", "runner_metrics"]
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))

        def at(name):
            return f"127.0.0.1:{self.ports[name]}"

        store = [f"127.0.0.1:{self.store.port}"]
        self.gateway = Process(program, "gateway", {
            "name": "g0", "data_centre": "z0", "caller_listen": at("caller"), "ready_listen": at("ready"),
            "peer_listen": at("peer"), "metrics_listen": at("metrics"), "store": store}, known, directory)
        self.runner = Process(program, "runner", {
            "vm": "side-0", "data_centre": "z0", "worker_listen": at("beat"), "worker": at("worker"),
            "peer_listen": at("runner_peer"), "metrics_listen": at("runner_metrics"), "store": store},
            known, directory)
        self.processes = [self.gateway, self.runner]

    def wait_ready(self):
        wait_for(lambda: answer(self.ports["ready"], "GET", "/") == 200, "the gateway to be ready")
        wait_for(lambda: answer(self.ports["runner_metrics"], "GET", "/status") == 200, "the runner to be ready")

    def stop(self):
        for process in self.processes:
            process.stop()
        self.store.shutdown()
        self.store.server_close()


def wait_for(condition, what):
    until = time.monotonic() + PATIENCE_S
    while not condition():
        if time.monotonic() > until:
            raise AssertionError(f"waited in vain for {what}")
        time.sleep(0.05)


def request(method, path, body=b"", fields=""):
    head = HEAD.format(method=method, path=path) + fields
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def answer(port, method, path, body=b""):
    """Status of one request on a connection of its own; None without an answer."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as to:
            to.sendall(request(method, path, body, "Connection: close\r\n"))
            data = b""
            while b"\r\n" not in data:
                more = to.recv(64 * KIB)
                if not more:
                    return None
                data += more
            return int(data.split()[1])
    except OSError:
        return None


def chunked_head(method, path):
    return (HEAD.format(method=method, path=path) + "Transfer-Encoding: chunked\r\n\r\n").encode()


def declared_head(method, path, size):
    return (HEAD.format(method=method, path=path) + f"Content-Length: {size}\r\n\r\n").encode()


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


class Client:
    """Sends `parts`, each a (bytes, repetitions) pair, and then stays open. Reads what comes unless `reads` is
    false."""

    def __init__(self, port, parts, reads=True):
        self.left = [[memoryview(data), times] for data, times in parts]
        self.offset = 0
        self.reads = reads
        self.socket = socket.socket()
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * KIB)
        self.socket.settimeout(PATIENCE_S)
        self.open = True
        try:
            self.socket.connect(("127.0.0.1", port))
        except OSError:
            self.close()
        if self.open:
            self.socket.setblocking(False)

    def close(self):
        self.open = False
        self.socket.close()

    def wants_to_send(self):
        return self.open and bool(self.left)

    def send(self):
        """One send; false if the server takes no more at present."""
        data, times = self.left[0]
        try:
            self.offset += self.socket.send(data[self.offset:])
        except BlockingIOError:
            return False
        except OSError:
            self.close()
            return False
        if self.offset == len(data):
            self.offset = 0
            self.left[0][1] = times - 1
            if times == 1:
                self.left.pop(0)
        return True

    def receive(self):
        try:
            if not self.socket.recv(256 * KIB):
                self.close()
        except BlockingIOError:
            pass
        except OSError:
            self.close()


def play(system, clients, quiet_s=2.0):
    """Sends until every client has sent everything, is closed, or none has got anything rid for a while."""
    with selectors.DefaultSelector() as waiting:
        for client in clients:
            if client.open:
                waiting.register(client.socket, selectors.EVENT_WRITE | (selectors.EVENT_READ if client.reads else 0),
                                 client)
        last = time.monotonic()
        while any(client.wants_to_send() for client in clients) and time.monotonic() - last < quiet_s:
            for key, events in waiting.select(0.2):
                client = key.data
                if events & selectors.EVENT_READ:
                    client.receive()
                if events & selectors.EVENT_WRITE and client.wants_to_send() and client.send():
                    last = time.monotonic()
                if not client.open:
                    waiting.unregister(key.fileobj)
                elif not client.left and events & selectors.EVENT_WRITE:
                    waiting.modify(key.fileobj, selectors.EVENT_READ, client)
            for process in system.processes:
                process.sample()


def stops_short_in_chunks(port, method, path, total, size, count):
    """Chunked bodies that end one chunk before their last."""
    piece = chunk(size)
    together = max(1, 64 * KIB // len(piece))
    return [Client(port, [(chunked_head(method, path(n)), 1), (piece * together, total // size // together)])
            for n in range(count)]


def stops_one_byte_short(port, method, path, total, count):
    """Bodies of declared length whose last byte never comes."""
    block = 64 * KIB
    return [Client(port, [(declared_head(method, path(n), total), 1), (b"x" * block, total // block - 1),
                          (b"x" * (block - 1), 1)]) for n in range(count)]


def http2_frame(kind, flags, stream, payload=b""):
    return struct.pack(">I", len(payload))[1:] + struct.pack(">BBI", kind, flags, stream) + payload


def http2_fields(pairs):
    """Literal fields without indexing and without Huffman coding (RFC 7541, section 6.2.2)."""

    def text(value):
        return (bytes([len(value)]) if len(value) < 127 else bytes([127, len(value) - 127])) + value

    return b"".join(b"\x00" + text(name) + text(value) for name, value in pairs)


HTTP2_PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + http2_frame(4, 0, 0)
HTTP2_REQUEST = http2_fields([(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"a"),
                              (b":path", b"/leader")])
WINDOW_BODY = 60 * KIB  # less than the first window of a stream


def http2_answer(port):
    """Whether one request on a connection of its own is answered with headers."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as to:
            to.sendall(HTTP2_PREFACE + http2_frame(1, 5, 1, HTTP2_REQUEST))
            data = b""
            while True:
                while len(data) >= 9 and len(data) >= 9 + int.from_bytes(data[:3], "big"):
                    if data[3] == 1:
                        return True
                    data = data[9 + int.from_bytes(data[:3], "big"):]
                more = to.recv(64 * KIB)
                if not more:
                    return False
                data += more
    except OSError:
        return False


def http2_stops_short(port, connections, streams, fields=HTTP2_REQUEST):
    """Streams with bodies that never end, within the windows that the server opens at once."""
    data = b"".join(http2_frame(0, 0, 1, b"x" * (15 * KIB)) for _ in range(WINDOW_BODY // (15 * KIB)))
    out = []
    for _ in range(connections):
        parts = [(HTTP2_PREFACE, 1)]
        for number in range(streams):
            stream = struct.pack(">I", 2 * number + 1)
            body = b"".join(data[at:at + 5] + stream + data[at + 9:at + 9 + 15 * KIB]
                            for at in range(0, len(data), 9 + 15 * KIB))
            parts.append((http2_frame(1, 4, 2 * number + 1, fields) + body, 1))
        out.append(Client(port, parts))
    return out


def http2_resets(port, connections, streams):
    """Streams that are reset as soon as they are opened."""
    text = b"".join(http2_frame(1, 4, 2 * n + 1, HTTP2_REQUEST) + http2_frame(3, 0, 2 * n + 1, struct.pack(">I", 8))
                    for n in range(streams))
    return [Client(port, [(HTTP2_PREFACE, 1), (text, 1)]) for _ in range(connections)]


def http2_endless_headers(port, connections):
    """A header block that never ends, of names that are all different."""
    frame = http2_frame(9, 0, 1, http2_fields([(b"f%05d" % n, b"v" * 100) for n in range(140)]))
    return [Client(port, [(HTTP2_PREFACE, 1), (http2_frame(1, 0, 1, HTTP2_REQUEST), 1), (frame, 200)])
            for _ in range(connections)]


def http2_responses_never_read(port, connections, streams):
    """Requests whose answers stay unread, and PINGs, whose answers pile up too."""
    text = b"".join(http2_frame(1, 5, 2 * n + 1, HTTP2_REQUEST) for n in range(streams))
    return [Client(port, [(HTTP2_PREFACE, 1), (text, 1), (http2_frame(6, 0, 0, b"12345678") * 1000, 200)],
                   reads=False) for _ in range(connections)]


def job_path(number):
    return JOB_PATH.format(number % 256)


def heartbeat_path(number):
    return f"/instances/x-{number}"


def check(system, open_clients, ask, memory_bound=MEMORY_BOUND, descriptor_bound=DESCRIPTOR_BOUND):
    """Every check of one case; `ask` says whether an ordinary request is answered."""
    system_figures = {}
    for process in system.processes:
        process.sample()
        assert process.alive(), f"{process.role} has ended with {process.child.poll()}"
    answered_beside = ask()  # an observation: an ordinary client may have to come again
    for client in open_clients:
        client.close()
    wait_for(ask, "an ordinary request to be answered afterwards")
    for process in system.processes:
        process.sample()
        system_figures[process.role] = f"{process.peak_memory() / MIB:.0f} MiB, {process.descriptors} descriptors"
    print(f"  {system_figures}, answered beside them: {answered_beside}", flush=True)
    for process in system.processes:
        assert process.alive(), f"{process.role} has ended with {process.child.poll()}"
        assert process.peak_memory() <= memory_bound, f"{process.role} took {process.peak_memory() / MIB:.0f} MiB"
        assert process.descriptors <= descriptor_bound, f"{process.role} had {process.descriptors} descriptors"


def job_is_taken(system):
    return lambda: answer(system.ports["caller"], "POST", "/jobs/00000000000000ff", JOB) == 200


def heartbeat_is_taken(system, size=0):
    return lambda: answer(system.ports["beat"], "PUT", HEARTBEAT_PATH, heartbeat(size)) == 200


def caller_port(system, clients):
    play(system, clients)
    check(system, clients, job_is_taken(system))


def worker_port(system, clients):
    play(system, clients)
    check(system, clients, heartbeat_is_taken(system))


def peer_port(system, name, clients):
    play(system, clients)
    check(system, clients, lambda: http2_answer(system.ports[name]))


def caller_bodies_far_over_the_limit(system):
    """A body that is far too long must not be kept until it ends."""
    port = system.ports["caller"]
    clients = [Client(port, [(declared_head("POST", job_path(n), 64 * MIB), 1), (b"x" * 64 * KIB, 1024)])
               for n in range(16)]
    clients += [Client(port, [(chunked_head("POST", job_path(n)), 1), (chunk(64 * KIB), 1024)]) for n in range(16)]
    caller_port(system, clients)


def caller_declared_bodies_stop_one_byte_short(system):
    """Bodies under the old limit of 8 MiB were kept whole for the time of a request."""
    caller_port(system, stops_one_byte_short(system.ports["caller"], "POST", job_path, 8 * MIB - 64 * KIB, 24))


def caller_small_bodies_stop_one_byte_short(system):
    """Bodies within the limit exceed the budget by their number alone."""
    caller_port(system, stops_one_byte_short(system.ports["caller"], "POST", job_path, 256 * KIB, 300))


def caller_large_chunks_stop_short(system):
    """Chunked bodies have no announced length to refuse."""
    caller_port(system, stops_short_in_chunks(system.ports["caller"], "POST", job_path, 8 * MIB - 64 * KIB, 64 * KIB,
                                              24))


def caller_one_byte_chunks_stop_short(system):
    """Small chunks cost more to parse than to send."""
    caller_port(system, stops_short_in_chunks(system.ports["caller"], "POST", job_path, 768 * KIB, 1, 64))


def ordinary_requests_beside_bodies_that_stop_short(system):
    """While the budget was used up, connections were closed before their request was read, without an answer."""
    port = system.ports["caller"]
    answers = collections.Counter()
    stopped = threading.Event()

    def ask_all_the_time():
        while not stopped.is_set():
            answers[answer(port, "POST", "/jobs/00000000000000ff", JOB)] += 1

    ordinary = threading.Thread(target=ask_all_the_time)
    ordinary.start()
    for _ in range(3):
        clients = stops_short_in_chunks(port, "POST", job_path, 248 * KIB, 8 * KIB, 150)
        clients += stops_one_byte_short(port, "POST", job_path, 256 * KIB, 150)
        play(system, clients)
        for client in clients:
            client.close()
    stopped.set()
    ordinary.join()
    print(f"  answers: {dict(answers)}", flush=True)
    assert not answers[None], f"{answers[None]} ordinary requests were not answered"
    check(system, [], job_is_taken(system))


def rounds_of_chunked_bodies_that_stop_short(system):
    """Bodies grew without a charge while the header of a chunk was incomplete, and each round left other gaps."""
    for _ in range(8):
        clients = stops_short_in_chunks(system.ports["caller"], "POST", job_path, 248 * KIB, 8 * KIB, 400)
        clients += stops_short_in_chunks(system.ports["caller"], "POST", job_path, 96 * KIB, 1, 400)
        play(system, clients)
        for client in clients:
            client.close()
    check(system, [], job_is_taken(system), memory_bound=64 * MIB, descriptor_bound=2048)


# Half of the machine is the bound.
rounds_of_chunked_bodies_that_stop_short.settings = {"memory_mb": 128, "max_fds": 2048, "receive_budget_kb": 0}


def caller_endless_headers(system):
    """Header fields, and then a chunk extension, that never end."""
    port = system.ports["caller"]
    fields = b"".join(b"x-%d: %s\r\n" % (n, b"v" * 40) for n in range(1000))
    clients = [Client(port, [(HEAD.format(method="POST", path=job_path(n)).encode(), 1), (fields, 20)])
               for n in range(100)]
    clients += [Client(port, [(chunked_head("POST", job_path(n)), 1), (b"1;" + b"e" * 64 * KIB, 1),
                              (b"e" * 64 * KIB, 100)]) for n in range(50)]
    clients += [Client(port, [(chunked_head("POST", job_path(n)), 1), ((b"1;" + b"e" * 1000 + b"\r\nx\r\n") * 60, 100)])
                for n in range(50)]
    caller_port(system, clients)


def caller_responses_never_read(system):
    """Pipelined requests whose answers are not read."""
    ask = request("GET", job_path(1)) * 200
    caller_port(system, [Client(system.ports["caller"], [(ask, 100)], reads=False) for _ in range(100)])


def metrics_responses_never_read(system):
    """The metrics page is the longest answer of all."""
    ask = request("GET", "/metrics") * 200
    clients = [Client(system.ports[name], [(ask, 20)], reads=False)
               for name in ("metrics", "runner_metrics") for _ in range(60)]
    play(system, clients)
    check(system, clients, lambda: answer(system.ports["metrics"], "GET", "/metrics") == 200
          and answer(system.ports["runner_metrics"], "GET", "/metrics") == 200)


def metrics_and_ready_bodies_stop_short(system):
    """Ports that take no bodies must not keep any."""
    clients = []
    for name in ("ready", "metrics", "runner_metrics"):
        clients += stops_one_byte_short(system.ports[name], "POST", job_path, 4 * MIB, 16)
        clients += stops_short_in_chunks(system.ports[name], "POST", job_path, 4 * MIB, 64 * KIB, 16)
    play(system, clients)
    check(system, clients, lambda: answer(system.ports["ready"], "GET", "/") == 200
          and answer(system.ports["runner_metrics"], "GET", "/status") == 200)


def idle_connections_on_every_port(system):
    """Connections that say nothing must leave descriptors for the store and peers."""
    names = ("caller", "ready", "metrics", "peer", "beat", "runner_metrics", "runner_peer")
    clients = [Client(system.ports[name], []) for _ in range(300) for name in names]
    play(system, clients)
    jobs, beats = job_is_taken(system), heartbeat_is_taken(system)
    check(system, clients, lambda: jobs() and beats() and http2_answer(system.ports["peer"])
          and http2_answer(system.ports["runner_peer"]))


def heartbeats_stop_one_byte_short(system):
    """A heartbeat may be long, so that a few unfinished ones exceed the budget."""
    worker_port(system, stops_one_byte_short(system.ports["beat"], "PUT", heartbeat_path, 4 * MIB, 24))


def heartbeats_in_chunks_stop_short(system):
    """The same in large and in one-byte chunks."""
    port = system.ports["beat"]
    worker_port(system, stops_short_in_chunks(port, "PUT", heartbeat_path, 4 * MIB - 64 * KIB, 64 * KIB, 24)
                + stops_short_in_chunks(port, "PUT", heartbeat_path, 768 * KIB, 1, 32))


def longest_heartbeat_is_served(system):
    """Workers may send heartbeats of 4 MiB."""
    check(system, [], heartbeat_is_taken(system, 4 * MIB))


def peer_bodies_stop_short(system):
    """Many streams hold their bodies on few connections."""
    for name in ("peer", "runner_peer"):
        peer_port(system, name, http2_stops_short(system.ports[name], 20, 64))


def peer_resets(system):
    """Each stream that is reset at once costs the server a handler."""
    for name in ("peer", "runner_peer"):
        peer_port(system, name, http2_resets(system.ports[name], 20, 2000))


def peer_endless_headers(system):
    """A header block may be continued without end."""
    for name in ("peer", "runner_peer"):
        peer_port(system, name, http2_endless_headers(system.ports[name], 40))


def peer_responses_never_read(system):
    """Answers to requests and PINGs queue up behind a peer that does not read."""
    for name in ("peer", "runner_peer"):
        peer_port(system, name, http2_responses_never_read(system.ports[name], 40, 500))


CASES = [
    caller_bodies_far_over_the_limit, caller_declared_bodies_stop_one_byte_short,
    caller_small_bodies_stop_one_byte_short, caller_large_chunks_stop_short, caller_one_byte_chunks_stop_short,
    ordinary_requests_beside_bodies_that_stop_short, rounds_of_chunked_bodies_that_stop_short, caller_endless_headers,
    caller_responses_never_read, metrics_responses_never_read, metrics_and_ready_bodies_stop_short, idle_connections_on_every_port, heartbeats_stop_one_byte_short,
    heartbeats_in_chunks_stop_short, longest_heartbeat_is_served, peer_bodies_stop_short, peer_resets,
    peer_endless_headers, peer_responses_never_read,
]


def settings_known(program):
    """The reference of the settings by role; older programs reject settings that they do not know."""
    text = subprocess.run([program, "settings", "reference"], capture_output=True, text=True, check=True).stdout
    return {role.lower(): text.split(f"## {role}")[1].split("\n## ")[0]
            for role in ("Entry", "Agent", "Gateway", "Runner")}


def run_cases(cases, build, names, make_system=System):
    """Runs the cases, or those with the names given, each against processes of its own."""
    program = str(pathlib.Path(build) / "chiveglade")
    known = settings_known(program)
    cases = [case for case in cases if not names or case.__name__ in names]
    failed = 0
    for case in cases:
        lowered = dict(LOWERED)
        LOWERED.update(getattr(case, "settings", {}))
        with tempfile.TemporaryDirectory() as directory:
            system = make_system(program, known, pathlib.Path(directory))
            try:
                system.wait_ready()
                case(system)
                print(f"passed: {case.__name__}", flush=True)
            except Exception:  # every case is tried, all failures are shown
                failed += 1
                print(f"FAILED: {case.__name__}: {case.__doc__}\n{traceback.format_exc()}", flush=True)
            finally:
                system.stop()
                LOWERED.clear()
                LOWERED.update(lowered)
    print(f"{len(cases) - failed} passed, {failed} failed")
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", default=pathlib.Path(__file__).resolve().parents[2] / "build")
    parser.add_argument("--case", action="append", help="only this case")
    arguments = parser.parse_args()
    return run_cases(CASES, arguments.build, arguments.case)


if __name__ == "__main__":
    sys.exit(main())
