"""Starts stand-ins and nodes on ports that the system chooses, and ends just these processes again.

Used by the demo, the measures and the end-to-end tests. Only the standard library is needed.

    with Fleet(answers="docs/examples/umthunzi.answers.ini", nodes=3) as fleet:
        fleet.ready()
        fleet.node(0).callers     # "127.0.0.1:40123"
"""

import configparser
import json
import os
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
START_SECONDS = 20
STOP_SECONDS = 45
FIRST_LINE_SECONDS = 30


def http(method, url, body=None, headers=None, timeout=10):
    """Answers (status, headers, bytes); an HTTP error is an answer, a lost connection raises OSError."""
    request = urllib.request.Request("http://" + url, data=body, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()


class Process:
    """One process that this script started; its first line of output says where it listens."""

    def __init__(self, name, arguments, folder):
        self.name = name
        self.arguments = arguments
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        self.process = subprocess.Popen(arguments, stdout=subprocess.PIPE, stderr=self.log, stdin=subprocess.DEVNULL)
        bound = threading.Timer(FIRST_LINE_SECONDS, self.process.kill)
        bound.start()
        self.line = self.process.stdout.readline().decode().strip()
        bound.cancel()
        if not self.line.startswith("listening"):
            self.kill()
            raise RuntimeError(f"{name} did not start: {open(self.log.name).read()[-2000:]}")

    @property
    def address(self):
        return self.line.split()[1]

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait()

    def stop(self):
        """SIGTERM, and SIGKILL when it does not end; answers its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self, seconds=STOP_SECONDS):
        try:
            code = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            self.process.kill()
            code = self.process.wait()
        self.process.stdout.close()
        self.log.close()
        return code

    def running(self):
        return self.process.poll() is None


class Node(Process):
    """One jjnode with its three listeners."""

    def part(self, name):
        return dict(word.split("=") for word in self.line.split()[1:])[name]

    @property
    def callers(self):
        return self.part("callers")

    @property
    def operators(self):
        return self.part("operators")

    @property
    def peers(self):
        return self.part("peers")


class Fleet:
    """An object API, the engines and plain services of one answered questionnaire, and nodes."""

    def __init__(self, answers, nodes=3, build="build", engine_options=(), store_options=(), node_sections=""):
        self.bin = os.path.join(ROOT, build, "bin")
        self.folder = tempfile.mkdtemp(prefix="jayjunction-")
        self.answers = answers
        self.engine_options = list(engine_options)
        self.store_options = list(store_options)
        self.node_sections = node_sections
        self.node_count = nodes
        self.engines, self.services, self.nodes, self.processes = [], [], [], []
        self.key_file = self.write("fleet.key", secrets.token_hex(32))
        self.token = secrets.token_hex(16)
        self.token_file = self.write("operators.token", self.token)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.end()
            raise
        return self

    def __exit__(self, *ignored):
        self.end()

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w") as file:
            file.write(text)
        return self.path(name)

    def launch(self, name, *arguments, kind=Process):
        process = kind(name, [os.path.join(self.bin, arguments[0]), *arguments[1:]], self.folder)
        self.processes.append(process)
        return process

    def start(self):
        self.store = self.launch("store", "jj-fake-objects", "--port", "0", *self.store_options)
        self.config = self.start_upstreams()
        self.domains = self.read_domains()
        for number in range(self.node_count):
            self.nodes.append(self.start_node(number))

    def start_upstreams(self):
        """Starts a stand-in for each upstream that the answers name, and writes its address in the placeholder's stead."""
        parser = configparser.ConfigParser(comment_prefixes=(";", "#"))
        parser.read(os.path.join(ROOT, self.answers))
        for section in parser.sections():
            if section.startswith("workload "):
                parser[section]["engines"] = self.start_each(parser[section]["engines"], self.start_engine)
            elif section.startswith("plain-service "):
                parser[section]["upstreams"] = self.start_each(parser[section]["upstreams"], self.start_service)
        answers = self.path("answers.ini")
        with open(answers, "w") as file:
            parser.write(file)
        config = self.path("fleet.ini")
        self.jj("init", "--answers", answers, "--out", config)
        return config

    @staticmethod
    def start_each(placeholders, start):
        parts = []
        for placeholder in placeholders.split(","):
            domain = placeholder.strip().split("@")[1]
            parts.append(start().address + "@" + domain)
        return ", ".join(parts)

    def start_engine(self):
        number = len(self.engines)
        engine = self.launch(f"engine-{number}", "jj-fake-engine", "--port", "0", "--seed", str(number + 1),
                             "--events", self.path(f"engine-{number}.events"), *self.engine_options)
        self.engines.append(engine)
        return engine

    def start_service(self):
        service = self.launch(f"service-{len(self.services)}", "jj-fake-service", "--port", "0")
        self.services.append(service)
        return service

    def read_domains(self):
        parser = configparser.ConfigParser(comment_prefixes=(";", "#"))
        parser.read(self.config)
        pairs = []
        for section in parser.sections():
            if section.startswith("region "):
                for domain in parser[section]["failure-domains"].split(","):
                    pairs.append((section.split(" ", 1)[1], domain.strip()))
        self.service_names = [s.split(" ", 1)[1] for s in parser.sections() if s.startswith("service ")]
        return pairs

    def start_node(self, number, listen="127.0.0.1:0"):
        region, domain = self.domains[number % len(self.domains)]
        peers = ", ".join(node.peers for node in self.nodes if node.running())
        settings = self.write(f"node-{number}.ini", f"""[node]
failure-domain = {domain}
region = {region}
callers = 127.0.0.1:0
operators = 127.0.0.1:0
peers-listen = {listen}
peers = {peers}
key-file = {self.key_file}
token-file = {self.token_file}
events-file = {self.path(f"node-{number}.events")}
[platform]
store = {self.store.address}
{self.node_sections}
""")
        return self.launch(f"node-{number}", "jjnode", "--config", settings, kind=Node)

    def restart_node(self, number):
        """A new process on the same peer address, as on a host that was restarted."""
        self.nodes[number] = self.start_node(number, self.nodes[number].peers)
        return self.nodes[number]

    def node(self, number):
        return self.nodes[number]

    def live_nodes(self):
        return [node for node in self.nodes if node.running()]

    def jj(self, *arguments, check=True):
        result = subprocess.run([os.path.join(self.bin, "jj"), *arguments], capture_output=True, text=True, timeout=120)
        if check and result.returncode != 0:
            raise RuntimeError(f"jj {' '.join(arguments)}: exit {result.returncode}: {result.stderr.strip() or result.stdout.strip()}")
        return result

    def apply(self):
        """Puts the generated configuration in force through the first live node."""
        headers = {"Authorization": "Bearer " + self.token, "If-None-Match": "*"}
        with open(self.config, "rb") as file:
            body = file.read()
        status, _, answer = http("PUT", self.live_nodes()[0].operators + "/v1/config", body, headers)
        if status != 200:
            raise RuntimeError(f"configuration refused: {status} {answer.decode()}")

    def wait(self, what, condition, seconds=START_SECONDS):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return
            time.sleep(0.05)
        raise RuntimeError(f"{what}: not within {seconds} s")

    def status(self, node):
        return json.loads(http("GET", node.operators + "/v1/status")[2])

    def ready(self):
        """Applies the configuration and waits until every node has it and sees the others."""
        self.apply()
        nodes = self.live_nodes()

        def all_ready():
            for node in nodes:
                if http("GET", node.operators + "/readyz")[0] != 200:
                    return False
                alive = [m for m in self.status(node)["members"] if m["state"] == "alive"]
                if len(alive) < len(nodes) - 1:
                    return False
            return True

        self.wait("nodes ready", all_ready)

    def streams_begun(self, engine):
        """How many streams an engine has begun, as its own time line says."""
        time.sleep(0.5)  # the time line's flush bound, and some
        with open(self.path(f"engine-{engine}.events")) as file:
            return sum(1 for line in file if '"kind":"requestAccepted"' in line)

    def end(self):
        for process in reversed(self.processes):
            if process.running():
                process.signal(signal.SIGCONT)
                process.signal(signal.SIGKILL if isinstance(process, Node) is False else signal.SIGTERM)
        for process in reversed(self.processes):
            if not process.log.closed:
                process.wait()
        if not os.environ.get("KEEP_FOLDER"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder, file=sys.stderr)
