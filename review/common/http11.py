"""A small HTTP/1.1 server and client over asyncio; standard library only."""

import asyncio
import socket
import struct


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)

    def header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """The first line and the headers, with names in lower case; None at the end of the connection."""
    text = await reader.readuntil(b"\r\n\r\n")
    lines = text[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    """The pieces of a chunked body; raises IncompleteReadError where it is cut."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return b"".join([piece async for piece in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def head_of(status, headers):
    return (f"HTTP/1.1 {status} X\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers.items()) + "\r\n").encode("latin-1")


class Connection:
    """The server's side of one connection."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer

    async def answer(self, status, body=b"", headers=None):
        self.writer.write(head_of(status, {**(headers or {}), "Content-Length": str(len(body))}) + body)
        await self.writer.drain()

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def chunk(self, data):
        await self.send(b"%x\r\n%s\r\n" % (len(data), data))

    def reset(self):
        """Ends the connection with a reset instead of an orderly close."""
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


async def serve(host, port, handle):
    """Calls `handle(connection, request)` for each request. It returns False to have the connection closed."""

    async def run(reader, writer):
        connection = Connection(reader, writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, await read_body(reader, headers))
                if await handle(connection, request) is False:
                    return
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, OSError, ValueError):
            pass  # cancelled at the end of the case
        finally:
            writer.close()

    return await asyncio.start_server(run, host, port, limit=64 * 1024 * 1024)


class Answer:
    def __init__(self, status, headers, body, whole):
        self.status, self.headers, self.body, self.whole = status, headers, body, whole


async def fetch(host, port, method, target, headers, body=b"", timeout=8.0):
    """One request on a new connection. `status` is 0 if no answer came; `whole` tells whether the answer was complete."""
    status, found, pieces, whole, writer = 0, {}, [], False, None

    async def run():
        nonlocal status, found, whole, writer
        reader, writer = await asyncio.open_connection(host, port, limit=64 * 1024 * 1024)
        sent = {**headers, "Content-Length": str(len(body))}
        writer.write((f"{method} {target} HTTP/1.1\r\n" + "".join(f"{n}: {v}\r\n" for n, v in sent.items()) + "\r\n").encode("latin-1") + body)
        line, found = await read_head(reader)
        status = int(line.split(" ")[1])
        if found.get("transfer-encoding", "").lower() == "chunked":
            async for piece in read_chunks(reader):
                pieces.append(piece)
        else:
            pieces.append(await reader.readexactly(int(found.get("content-length", "0"))))
        whole = True

    try:
        await asyncio.wait_for(run(), timeout)
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, OSError, ValueError):
        pass
    finally:
        if writer:
            writer.close()
    return Answer(status, found, b"".join(pieces), whole)
