"""The path of a question over real processes: two nodes before one engine, so that one node is the engine's home and the other is not.

Everything is on loopback with ports that the system chose. No verdict depends on how fast anything is.
"""

import json
import pathlib
import socket
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "support"))
from processes import BOUND, Process, chat, connect, request, stream_tokens  # noqa: E402

CONFIG = """[deployment]
name = path

[region one]
failure-domains = a

[link]

[service m]
kind = engines
first-token-ms = 5000
online-deadline-ms = 30000

[upstream m/0]
address = {engine}
failure-domain = a
slots = 16
"""

SETTINGS = """[node]
failure-domain = a
region = one
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers-listen = 127.0.0.1:0
peers = {peers}
key-file = {folder}/key
token-file = {folder}/token
[platform]
store = {store}
[limits]
header-bytes = 2048
body-bytes = 8192
idle-ms = 2000
drain-ms = 20000
"""


def wait_until(what, condition):
    end = time.monotonic() + BOUND
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.02)
    raise RuntimeError(f"not within {BOUND:.0f} s: {what}")


class Node:
    def __init__(self, folder, index, store, peers):
        settings = folder / f"node-{index}.ini"
        settings.write_text(SETTINGS.format(peers=", ".join(peers), folder=folder, store=store))
        self.process = Process("jjnode", "--config", settings, log=folder / f"node-{index}.err")
        # "listening callers=IP:PORT operators=IP:PORT peers=IP:PORT", of which Process keeps the last word.
        self.peers = self.process.address.split("=")[1]
        self.callers, self.operators = self._listening(folder / f"node-{index}.err")

    def _listening(self, log):
        found = {}

        def read():
            for line in log.read_text().splitlines():
                if line.startswith("{") and '"callers"' in line:
                    found.update(json.loads(line))
            return "callers" in found.get("fields", found)

        wait_until("the node logs where it listens", read)
        fields = found.get("fields", found)
        return fields["callers"], fields["operators"]

    def is_ready(self):
        return request(self.operators, "GET", "/readyz").status == 200


def raw_exchange(address, data, shutdown=False):
    """Sends bytes as they are and reads until the other side closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=BOUND) as connection:
        connection.sendall(data)
        if shutdown:
            connection.shutdown(socket.SHUT_WR)
        answer = b""
        while piece := connection.recv(65536):
            answer += piece
        return answer


class Path(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="jj-path-"))
        (self.folder / "key").write_text("5a" * 32)
        (self.folder / "token").write_text("path-operators-token")
        self.started = []
        self.store = self.start("jj-fake-objects")
        self.engine = self.start("jj-fake-engine", "--step-base-ms", 5)
        put = request(self.store.address, "PUT", "/v1/objects/jj/config/fleet", CONFIG.format(engine=self.engine.address))
        self.assertIn(put.status, (200, 201))
        self.nodes = []
        for index in range(2):
            self.nodes.append(Node(self.folder, index, self.store.address, [node.peers for node in self.nodes]))
            self.started.append(self.nodes[-1].process)
        for node in self.nodes:
            wait_until("a node is ready", node.is_ready)

    def tearDown(self):
        for process in reversed(self.started):
            if process.is_running():
                process.stop()

    def start(self, *command):
        process = Process(*command)
        self.started.append(process)
        return process

    def ask(self, node, prompt, tokens, **more):
        return request(node.callers, "POST", "/v1/chat/completions", chat(prompt, tokens, **more), {"Content-Type": "application/json"})

    def open_stream(self, node, prompt, tokens):
        connection = connect(node.callers)
        connection.request("POST", "/v1/chat/completions", chat(prompt, tokens, stream=True))
        return connection, connection.getresponse()

    def running(self):
        return request(self.engine.address, "GET", "/v1/load").json()["running"]

    # Each caller gets the whole answer to its own question, streamed or not, whichever node it reached.
    def test_answers_are_the_same_through_each_node_streamed_and_whole(self):
        for prompt in ("is shelter 4 free", "what are the braai rules"):
            expected = request(self.engine.address, "POST", "/v1/chat/completions", chat(prompt, 12)).json()["choices"][0]["message"]["content"]
            for node in self.nodes:
                whole = self.ask(node, prompt, 12)
                self.assertEqual(whole.status, 200, whole.body)
                self.assertEqual(whole.json()["choices"][0]["message"]["content"].split(), expected.split())
                streamed = self.ask(node, prompt, 12, stream=True)
                positions, text, complete = stream_tokens(streamed.body.splitlines())
                self.assertTrue(complete)
                self.assertEqual(positions[-1], 12)
                self.assertEqual(text.split(), expected.split())

    # A member hangs up in the middle of an answer. The engine must not go on generating for nobody, whichever node she reached.
    def test_a_caller_that_goes_away_frees_the_engines_slot(self):
        for node in self.nodes:
            # Long enough that the stream can't have ended by itself within the wait below.
            connection, response = self.open_stream(node, "a long story", 20000)
            self.assertEqual(response.status, 200)
            response.readline()
            wait_until("the engine runs the stream", lambda: self.running() == 1)
            response.close()
            connection.close()
            wait_until("the engine's slot is free", lambda: self.running() == 0)

    # A refusal that says notRun is true: nothing of a bad call reaches an engine.
    def test_bad_calls_get_typed_errors_and_nothing_is_run(self):
        node = self.nodes[0]
        cases = (("{", 400, "gateway.BadJson"), ('{"model":"\udcff"}'.encode("utf-8", "surrogateescape"), 400, "gateway.BadJson"),
                 (json.dumps({"messages": []}), 400, "gateway.MissingModel"), (json.dumps({"model": "m"}), 400, "gateway.BadMessages"),
                 (json.dumps({"model": "nobody", "messages": [{"role": "user", "content": "x"}]}), 404, "gateway.UnknownService"),
                 ("x" * 9000, 413, "http.BodyTooLarge"))
        for body, status, code in cases:
            answer = request(node.callers, "POST", "/v1/chat/completions", body)
            self.assertEqual(answer.status, status, answer.body)
            self.assertEqual(answer.json()["error"]["code"], code)
            self.assertEqual(answer.json()["error"]["run"], "notRun")
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        self.assertIn(b"http.Truncated", raw_exchange(node.callers, head + b"Content-Length: 50\r\n\r\n{\"model\"", shutdown=True))
        self.assertIn(b"http.HeaderTooLarge", raw_exchange(node.callers, head + b"X: " + b"x" * 4000 + b"\r\n\r\n"))
        self.assertIn(b"http.Malformed", raw_exchange(node.callers, b"no http\r\n\r\n"))
        self.assertEqual(self.running(), 0)

    # An idle connection is closed without an answer, so that forgotten ones don't add up.
    def test_an_idle_connection_is_closed(self):
        self.assertEqual(raw_exchange(self.nodes[0].callers, b""), b"")

    # An operator ends a node while a member listens. The answer arrives whole, the balancer is notified at once, the exit is clean.
    def test_a_drain_cuts_off_no_answer(self):
        for node in reversed(self.nodes):
            connection, response = self.open_stream(node, "a story of some length", 600)
            first = response.readline()
            codes = []
            drain = threading.Thread(target=lambda process=node.process: codes.append(process.stop()))
            drain.start()
            wait_until("the node is not ready", lambda at=node: request(at.operators, "GET", "/readyz").status == 503)
            positions, _, complete = stream_tokens([first, *response.read().splitlines()])
            connection.close()
            drain.join()
            self.assertTrue(complete)
            self.assertEqual(positions[-1], 600)
            self.assertEqual(codes, [0])

    def test_operators_calls_need_the_token_and_show_the_node(self):
        node = self.nodes[0]
        self.assertEqual(request(node.operators, "GET", "/healthz").status, 200)
        self.assertIn("jj_questions_total", request(node.operators, "GET", "/metrics").text())
        self.assertTrue(request(node.operators, "GET", "/v1/status").json()["ready"])
        self.assertEqual(request(node.operators, "POST", "/v1/drain").status, 401)
        self.assertEqual(request(node.callers, "GET", "/v1/status").status, 404)


if __name__ == "__main__":
    unittest.main()
