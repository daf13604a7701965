"""An engine as PROTOCOL.md describes it: answers requests with events, tells its state, and is listed in the store."""

import json
import socket
import struct
import threading
import time

from deployment import HEARTBEAT_S

EVENTS = 8
PACE_S = 0.02
SLOTS = 8
TOKENS = 134354
SILENT_BEATS = 3  # after which the entry of an engine that has ended is removed


class Engine:
    """`behave(engine, request)` may return the name of a trouble for a request that the engine has begun to work on:
    "refuses" (a failure with status 503, not marked as not executed), "spoils" (a wrong byte in the header of its answer), "crashes" (the
    process ends), None (answers)."""

    def __init__(self, fleet, number, zone, service="bookhelp", behave=lambda engine, request: None):
        self.fleet, self.number, self.zone, self.service, self.behave = fleet, number, zone, service, behave
        self.lock, self.ran, self.starts, self.running, self.open, self.listener = threading.Lock(), [], 0, 0, set(), None
        self.address = None
        fleet.engines.append(self)
        self.start()
        threading.Thread(target=self.beat, daemon=True).start()

    @property
    def id(self):
        return f"i-{self.number:03d}-{self.starts}"

    def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address or ("127.0.0.1", 0))
        listener.listen(128)
        self.address, self.listener = listener.getsockname(), listener
        self.starts += 1
        self.born = int(time.time() * 1000)
        self.enter()
        threading.Thread(target=self.accept, args=(listener,), daemon=True).start()

    def enter(self):
        """An entry that is written again as it is changes nothing."""
        self.fleet.store.put("servers", self.id, {"service": self.service, "addr": "%s:%d" % self.address, "zone": self.zone, "version": "v1", "slots": SLOTS, "state": "ready", "coldLeftMs": 0, "stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "seq": self.starts, "born": self.born})

    def beat(self):
        while True:
            time.sleep(HEARTBEAT_S)
            with self.lock:
                if self.listener:
                    self.enter()

    def leave(self):
        with self.lock:
            listener, self.listener = self.listener, None
        if listener:
            listener.close()

    def crash(self, back_after_s):
        """The process ends: its port has no listener, its connections are reset. It comes back as another incarnation at the same address."""
        with self.lock:
            listener, self.listener = self.listener, None
            gone, lost = self.id, list(self.open)
        if not listener:
            return
        try:
            listener.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        listener.close()
        for connection in lost:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.fleet.record(f"engine {gone} crashes")

        def come_back():
            time.sleep(back_after_s)
            with self.lock:
                self.start()
            self.fleet.record(f"engine {self.id} is back")
            time.sleep(max(0.0, SILENT_BEATS * HEARTBEAT_S - back_after_s))
            self.fleet.store.remove("servers", gone)

        threading.Thread(target=come_back, daemon=True).start()

    def accept(self, listener):
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.open.add(connection)
        try:
            with connection, connection.makefile("rb") as reader:
                while request := read_request(reader):
                    if not self.answer(connection, request):
                        return
        except (OSError, ValueError):
            pass
        finally:
            self.open.discard(connection)

    def answer(self, connection, request):
        headers = request["headers"]
        load = f"X-Jayjunction-Server-Load: {min(self.running, SLOTS)},{max(0, self.running - SLOTS)},{SLOTS}\r\n"
        if request["method"] == "GET" and request["path"] in ("/health", "/report"):
            report = {"stage": "both", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False, "seq": 0, "waiting": max(0, self.running - SLOTS), "running": min(self.running, SLOTS), "kvUsed": 0, "kvTotal": TOKENS, "handles": 0}
            body = json.dumps(report) if request["path"] == "/report" else ""
            connection.sendall(f"HTTP/1.1 200 OK\r\nX-Jayjunction-Instance-Id: {self.id}\r\n{load}Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())
            return True
        attempt = headers.get("x-jayjunction-attempt-id", "")
        named = f"X-Jayjunction-Attempt-Id: {attempt}\r\n"
        if headers.get("x-jayjunction-expect-instance", self.id) != self.id:
            connection.sendall(f"HTTP/1.1 421 Misdirected Request\r\n{named}X-Jayjunction-Instance-Id: {self.id}\r\nX-Jayjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if self.running >= SLOTS:  # it queues none
            connection.sendall(f"HTTP/1.1 503 Service Unavailable\r\n{named}{load}X-Jayjunction-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        with self.lock:
            self.running += 1
        try:
            return self.run(connection, request, attempt, named, load)
        finally:
            with self.lock:
                self.running -= 1

    def run(self, connection, request, attempt, named, load):
        headers = request["headers"]
        trouble = self.behave(self, request)
        self.ran.append((time.monotonic(), attempt, request))
        self.fleet.record(f"engine {self.id} runs {attempt} {request['path']}" + (f", and {trouble}" if trouble else ""))
        if trouble == "crashes":
            self.crash(3.0)
            return False
        seal = f"X-Jayjunction-Response-Seal: {attempt}.{self.number}\r\n"
        if trouble == "refuses":
            time.sleep(PACE_S)
            body = b"failed while at work"
            connection.sendall(f"HTTP/1.1 503 Service Unavailable\r\n{named}{seal}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return True
        if trouble == "spoils":
            seal = seal.replace("Seal", "Sea1", 1)  # one wrong byte
        connection.sendall(f"HTTP/1.1 200 OK\r\n{named}{seal}{load}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        if request["method"] == "HEAD":
            return True
        first = int(headers.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            time.sleep(PACE_S)
            event = f"id: {number}\ndata: word{number}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        return True


def read_request(reader):
    line = reader.readline()
    if not line.strip():
        return None
    method, path, _ = line.decode().split(" ", 2)
    headers = {}
    while (field := reader.readline()).strip():
        name, _, value = field.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    return {"method": method, "path": path, "headers": headers, "body": reader.read(int(headers.get("content-length") or 0))}
