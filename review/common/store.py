"""The platform's store: objects by kind and name under one revision counter, with conditions, watches and the size limit of a value."""

import asyncio
import json

import http11


def size_of(value):
    """Of a text its own bytes, without what JSON escapes in it: the mildest reading of the limit."""
    if value is None:
        return 0
    return len(value.encode("utf-8", "surrogatepass")) if isinstance(value, str) else len(json.dumps(value))


class Store:
    def __init__(self, record, value_bytes=1048576):
        self.record, self.value_bytes = record, value_bytes
        self.objects, self.events, self.revision = {}, [], 10
        self.busy = False  # answers 503: nothing was done
        self.changed = asyncio.Event()
        self.too_large = 0

    def _publish(self, kind, removed, entry):
        self.events.append((self.revision, kind, removed, entry))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, kind, name, spec, create=False, expected=None, status=None):
        found = self.objects.get((kind, name))
        if create and found or expected is not None and (not found or found["metadata"]["revision"] != expected):
            return 409, found or {}
        if size_of(spec if spec is not None else found and found["spec"]) + size_of(status) > self.value_bytes:
            self.too_large += 1
            self.record(f"store refuses {kind}/{name}: {size_of(spec)} bytes, the limit is {self.value_bytes}")
            return 413, {}
        self.revision += 1
        made = found["metadata"]["createdRev"] if found else self.revision
        entry = {
            "metadata": {"name": name, "revision": self.revision, "createdRev": made, "finalizers": [], "deleting": False},
            "spec": spec if spec is not None else (found or {}).get("spec"),
            "status": status if status is not None else (found or {}).get("status"),
        }
        self.objects[(kind, name)] = entry
        self._publish(kind, False, entry)
        return 200, entry

    def remove(self, kind, name, expected=None):
        found = self.objects.get((kind, name))
        if not found:
            return 404, {}
        if expected is not None and found["metadata"]["revision"] != expected:
            return 409, found
        del self.objects[(kind, name)]
        self.revision += 1
        self._publish(kind, True, {**found, "metadata": {**found["metadata"], "revision": self.revision}})
        return 200, found

    async def watch(self, kind, since, wait):
        loop = asyncio.get_running_loop()
        until = loop.time() + wait
        while True:
            events = [{"removed": removed, "object": entry} for revision, k, removed, entry in self.events if k == kind and revision > since]
            left = until - loop.time()
            if events or left <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def list(self, kind, after):
        named = sorted((n, entry) for (k, n), entry in self.objects.items() if k == kind and n > after)
        items, used = [], 0
        for _, entry in named:
            used += size_of(entry["spec"])
            if items and (len(items) >= 500 or used > 1000000):
                break
            items.append(entry)
        return {"items": items, "hasMore": len(items) < len(named), "at": self.revision}

    async def handle(self, connection, request):
        async def answer(status, body):
            if request.method != "GET":
                self.record(f"store: {request.method} {request.path}, {len(request.body)} bytes: {status}")
            await connection.answer(status, json.dumps(body).encode(), {"Content-Type": "application/json"})

        if self.busy:
            return await answer(503, {})
        parts = request.path.split("/")[2:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method == "GET" and "watch" in request.query:
            body = await self.watch(kind, int(request.query["watch"]), min(int(request.query.get("waitMs", "0")), 30000) / 1000)
            return await answer(503, {}) if self.busy else await answer(200, body)
        if request.method == "GET" and not name:
            return await answer(200, self.list(kind, request.query.get("after", "")))
        if request.method == "GET":
            entry = self.objects.get((kind, name))
            return await answer(200 if entry else 404, entry or {})
        if request.method == "DELETE":
            revision = request.query.get("revision")
            return await answer(*self.remove(kind, name, int(revision) if revision else None))
        try:
            body = json.loads(request.body)
        except ValueError:
            self.record(f"store refuses a body that is no JSON: {request.method} {request.path}, {len(request.body)} bytes")
            return await answer(400, {})
        if request.method == "POST":
            return await answer(*self.put(kind, body["metadata"]["name"], body["spec"], create=True))
        expected = body.get("metadata", {}).get("revision")
        if (kind, name) not in self.objects:
            return await answer(404, {})
        if parts[-1] == "status" and len(parts) == 3:
            return await answer(*self.put(kind, name, None, expected=expected, status=body["status"]))
        return await answer(*self.put(kind, name, body["spec"], expected=expected))
