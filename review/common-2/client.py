"""A caller as PROTOCOL.md describes it."""

import random
import socket

HOST = "nony24.example"


def route(name, prefix, **fields):
    return {"name": name, "host": HOST, "pathPrefix": prefix, "kind": "streaming", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 0, "service": "bookhelp", "maxAttempts": 1, "sticky": True, "resumable": False, "gapAimMs": 400, **fields}


def configuration(version, routes):
    return {"version": version, "routes": routes, "services": [{"name": "bookhelp", "healthPath": "/health", "maxConns": 230}], "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def new_id():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, path, attempt, body=b"", deadline_ms=5000, parts="5c1e07a2:200", own=None):
    head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Jayjunction-Attempt-Id: {attempt}\r\nX-Jayjunction-Model: m\r\nX-Jayjunction-Token-Counts: 450,32\r\nX-Jayjunction-Prompt-Prefix: {parts},{own or new_id()[:8]}:250\r\nX-Jayjunction-Deadline-Ms: {deadline_ms}\r\n"
    if method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Cut(Exception):
    """The connection ended before the answer did."""


def read_answer(reader, method="POST"):
    """Status, headers, body. ValueError: bytes that are no answer."""
    line = reader.readline()
    if not line:
        raise Cut
    if not line.startswith(b"HTTP/1.1 ") or not line[9:12].isdigit():
        raise ValueError(line)
    headers = {}
    while (field := reader.readline()).strip():
        name, _, value = field.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    status = int(line[9:12])
    if method == "HEAD" or status in (204, 304):
        return status, headers, b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = reader.readline()
            if not size.endswith(b"\n"):
                raise Cut
            count = int(size, 16)
            piece = reader.read(count + 2)
            if len(piece) < count + 2:
                raise Cut
            if count == 0:
                return status, headers, body
            body += piece[:-2]
    length = int(headers.get("content-length") or 0)
    body = reader.read(length)
    if len(body) < length:
        raise Cut
    return status, headers, body


def send_once(address, data, method="POST", timeout=7):
    """One request on a new connection."""
    with socket.create_connection(address, timeout=timeout) as connection, connection.makefile("rb") as reader:
        connection.sendall(data)
        return read_answer(reader, method)
