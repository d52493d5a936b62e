"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    def __init__(self, method, target, headers, body):
        parts = urllib.parse.urlsplit(target)
        self.method = method
        self.path = urllib.parse.unquote(parts.path)
        self.query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


async def read_message(reader):
    """Returns (first line, headers, body), or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get("content-length", "0") or 0)
    try:
        body = await reader.readexactly(size) if size else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """Serves `handler(request) -> (status, object)`; None closes without an answer."""

    def __init__(self, ip, port, handler):
        self.ip, self.port, self.handler = ip, port, handler
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512, limit=16 * 1024 * 1024, reuse_address=True)

    async def stop(self):
        """Closes the listener and resets every connection, like the end of a process."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                reply = await self.handler(Request(method, target, headers, body))
                if reply is None:
                    return
                status, value = reply
                text = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(ip, port, method, target, body=None, headers=None, timeout=3.0):
    """One call on a new connection; returns (status, text) or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port, limit=16 * 1024 * 1024)
        try:
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": f"{ip}:{port}", "Content-Type": "application/json", **(headers or {})}
            fields["Content-Length"] = str(len(data))
            fields["Connection"] = "close"
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            message = await read_message(reader)
            if message is None:
                return None
            first, _, answer = message
            return int(first.split(" ")[1]), answer.decode()
        finally:
            writer.transport.abort()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return None
