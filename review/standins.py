"""Stand-ins for servers and consumers, as the page on the protocol describes them."""

import json
import socket
import threading
import time

from harness import call


def read_head(stream):
    """The first line and the header fields of a message; none at the end of the channel."""
    line = stream.readline(65536)
    if not line.strip():
        return None
    fields = {}
    while True:
        field = stream.readline(65536)
        if not field.strip():
            return line.decode("latin-1").strip(), fields
        name, _, value = field.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()


def read_body(stream, fields):
    """The body of a message with a length or in chunks; raises if it ends early."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int(stream.readline(1024).strip(), 16)
            part = stream.read(size)
            if len(part) < size or stream.read(2) != b"\r\n":
                raise EOFError("the body ended early")
            if size == 0:
                return body
            body += part
    length = int(fields.get("content-length", 0))
    body = stream.read(length)
    if len(body) < length:
        raise EOFError("the body ended early")
    return body


class Server:
    """A server of a service: announces itself, and runs requests with `run`."""

    def __init__(self, system, ident, service, address, zone, control, run, engine=None, slots=6):
        self.system, self.ident, self.service, self.zone = system, ident, service, zone
        self.address, self.control, self.run = address, control, run
        self.engine, self.slots = engine, slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.stopped = threading.Event()
        self.beats = True
        self.channels = set()
        self.listener = socket.create_server(address, backlog=128)
        system.servers.append(self)
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat, daemon=True).start()

    def stop(self):
        self.stopped.set()
        self.listener.close()

    def exit(self):
        """Ends as a process does: nothing listens any more, and all channels are closed."""
        self.stop()
        for channel in list(self.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def beat(self):
        while not self.stopped.is_set():
            if self.beats:
                self.announce()
            self.stopped.wait(1.2)

    def announce(self):
        self.sequence += 1
        body = json.dumps({
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": "ready", "cold_remaining_ms": 0,
            "sequence": self.sequence, "born": self.born})
        path = f"/eelgrassdyke/instances/{self.ident}/heartbeat"
        for machine in self.control:
            try:
                status, _, _ = call(machine.control_address(), "POST", path, body,
                                    {"Content-Type": "application/json"})
            except OSError:
                continue
            if status == 200:
                return
        self.system.record(f"server {self.ident}: no confirmation of a check-in")

    def accept(self):
        while not self.stopped.is_set():
            try:
                channel, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(channel,), daemon=True).start()

    def serve(self, channel):
        channel.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = channel.makefile("rb")
        self.channels.add(channel)
        try:
            while (head := read_head(stream)) is not None:
                first, fields = head
                method, path, _ = first.split(" ", 2)
                body = read_body(stream, fields)
                if path.startswith("/eelgrassdyke/"):
                    answer = self.engine(path, body)
                    if answer is None:
                        self.stopped.wait(3.0)  # The caller gets no answer.
                        return
                    status, answer = answer
                    channel.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: "
                                    b"%d\r\n\r\n%s" % (status, len(answer), answer))
                    continue
                if path == "/healthz":
                    channel.sendall(b"HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n"
                                    % self.ident.encode())
                    continue
                echo = f"Attempt-Id: {fields['attempt-id']}\r\n"
                if fields.get("expect-instance", self.ident) != self.ident:
                    channel.sendall(f"HTTP/1.1 421 Misdirected Request\r\n{echo}Not-Executed: 1\r\n"
                                    "Content-Length: 0\r\n\r\n".encode())
                    continue
                self.run(self, channel, method, path, fields, body, echo)
        except (OSError, EOFError, ValueError, KeyError) as error:
            self.system.record(f"server {self.ident}: channel ends: {error!r}")
        finally:
            self.channels.discard(channel)
            channel.close()


def sealed(fields, body, content_type="application/octet-stream"):
    """The head of a sound server's successful answer."""
    return (f"HTTP/1.1 200 OK\r\nAttempt-Id: {fields['attempt-id']}\r\n"
            f"Response-Seal: seal.{fields['attempt-id']}.{len(body)}\r\n"
            f"Content-Type: {content_type}\r\nContent-Length: {len(body)}\r\n\r\n").encode()
