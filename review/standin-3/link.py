"""A link to a TCP server on loopback that can be cut, as a partition cuts it.

While it is cut, nothing passes. What was sent on connections that were open before is held, as the sender's kernel holds
it, and passes once the link is back, also if the sender has closed the connection meanwhile; it is lost if the sender has
reset the connection. Connections that are opened while it is cut never come about.
"""

import contextlib
import socket
import threading


class Link:
    def __init__(self, server, record, name):
        self.server, self.record, self.name = server, record, name
        self.changed = threading.Condition()
        self.is_cut = False
        self.ended = False
        self.sockets = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        with self.changed:
            self.is_cut = True
        self.record(self.name, "is cut")

    def mend(self):
        with self.changed:
            self.is_cut = False
            self.changed.notify_all()
        self.record(self.name, "is back")

    def stop(self):
        with self.changed:
            self.ended = True
            self.changed.notify_all()
        self.listener.close()
        for each in self.sockets:
            with contextlib.suppress(OSError):
                each.shutdown(socket.SHUT_RDWR)
            each.close()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.append(near)
            if self.is_cut:
                continue  # stays silent: its first packet didn't arrive
            far = socket.create_connection(self.server)
            for end in (near, far):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.append(far)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source, sink):
        """Reads on while the link is cut, so that a reset is seen before the link is back."""
        held, lock = [], threading.Lock()  # data, or None for the end
        news = threading.Event()

        def send():
            while not self.ended:
                news.wait(0.5)
                with self.changed:
                    while self.is_cut and not self.ended:
                        self.changed.wait(0.5)
                with lock:
                    news.clear()
                    now, held[:] = list(held), []
                for data in now:
                    try:
                        if data is None:
                            sink.shutdown(socket.SHUT_WR)
                            return
                        sink.sendall(data)
                    except OSError:
                        return

        threading.Thread(target=send, daemon=True).start()
        while True:
            try:
                data = source.recv(65536)
            except OSError:
                with lock:
                    held.clear()
                data = b""
            if data and self.is_cut:
                self.record(self.name, f"holds {data[:300]}")
            with lock:
                held.append(data or None)
                news.set()
            if not data:
                return
