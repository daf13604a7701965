"""The command line as a process: what it prints, and the exit codes that scripts rely on. Nodes are not needed here: an engine
stand-in answers questions as a node does, and the object API takes a configuration directly."""

import http.server
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import unittest

TESTS = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(TESTS / "support"))
from processes import Process, bin_folder, request  # noqa: E402

ANSWERS = TESTS.parent / "docs" / "examples" / "umthunzi.answers.ini"
DONE, FAILED, BAD_INPUT, UNREACHABLE, OUTCOME_UNKNOWN, FINDINGS = range(6)


def serve_json(test, answers):
    """A server that answers each path of `answers` with its object, and any other with 404."""

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            found = answers.get(self.path)
            body = json.dumps(found if found is not None else {"error": {"code": "none", "message": "none"}}).encode()
            self.send_response(200 if found is not None else 404)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    test.addCleanup(server.shutdown)
    return f"127.0.0.1:{server.server_port}"


class CommandLine(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def start(self, program, *arguments):
        process = Process(program, *arguments)
        self.addCleanup(lambda: process.is_running() and process.kill())
        return process

    def test_trace_shows_one_request_over_several_logs_in_order(self):
        """An engineer asks for one request: lines of two processes, one behind a collector's words, one of another request."""
        first, second = self.folder / "a.log", self.folder / "b.log"
        first.write_text('{"ts":30,"host":"a","event":"answered","request":"r1"}\n{"ts":10,"host":"a","event":"sent","request":"r1","engine":"e1"}\nno json\n')
        second.write_text('12.5 b {"ts":20,"host":"b","event":"engineFailed","engine":"e1"}\n{"ts":15,"host":"b","event":"sent","request":"r2"}\n')
        words = lambda run: [line.split()[2] for line in run.stdout.splitlines()]
        self.assertEqual(words(self.jj("trace", "--id", "r1", str(first), str(second))), ["sent", "answered"])
        self.assertEqual(words(self.jj("trace", "--engine", "e1", str(first), str(second))), ["sent", "engineFailed"])
        self.jj("trace", "--id", "r9", str(first), expect=FINDINGS)
        self.jj("trace", str(first), expect=BAD_INPUT)

    def test_fleet_and_owner_ask_one_host(self):
        """An operator of hundreds of hosts asks one of them who is behind, who has lost the store, and who owns a job."""
        host = {"host": "10.0.0.2:7000", "runsJobs": True, "watches": True, "keptJobs": 0, "behind": False, "lostStore": False}
        cell = {"delegate": "10.0.0.2:7000", "nodes": 2, "config": 7, "engines": 40, "ageMs": 90, "hosts": [host]}
        answers = {"/fleet": {"host": "10.0.0.1:7000", "config": 7, "engines": 40, "nodes": 2, "cells": [cell]}, "/jobs/j1": {"job": "j1", "owner": "10.0.0.2:7000", "ownerLives": True, "state": "open", "items": 3}}
        address = serve_json(self, answers)
        self.assertIn("hosts 2, configuration 7", self.jj("fleet", "--node", address).stdout)
        self.assertIn("owner: 10.0.0.2:7000", self.jj("owner", "j1", "--node", address).stdout)
        host.update(behind=True, lostStore=True)
        found = self.jj("fleet", "--node", address, expect=FINDINGS).stdout
        self.assertIn("10.0.0.2:7000 applies an older configuration", found)
        self.assertIn("10.0.0.2:7000 has lost the store", found)
        cell["ageMs"] = 9000
        self.assertIn("is silent", self.jj("fleet", "--node", address, expect=FINDINGS).stdout)
        answers["/fleet"] = {"nodes": 2}
        self.jj("fleet", "--node", address, expect=FAILED)
        self.jj("owner", "j9", "--node", address, expect=FAILED)
        self.jj("fleet", expect=BAD_INPUT)

    def jj(self, *arguments, expect=DONE, typed=""):
        done = subprocess.run([str(bin_folder() / "jj"), *map(str, arguments)], input=typed, capture_output=True, text=True, timeout=60)
        self.assertEqual(done.returncode, expect, done.stdout + done.stderr)
        return done

    def config(self):
        path = self.folder / "fleet.ini"
        self.jj("init", "--answers", ANSWERS, "--out", path)
        return path

    def test_init_check_and_apply_only_once_over_nothing(self):
        config = self.config()
        self.assertEqual(json.loads(self.jj("--json", "check", config).stdout)["faults"], 0)
        store = self.start("jj-fake-objects")
        first = self.jj("--json", "apply", config, "--store", store.address, "--if-version", "none")
        self.assertEqual(json.loads(first.stdout), {"accepted": True, "version": "1"})
        again = self.jj("--json", "apply", config, "--store", store.address, "--if-version", "none", expect=FAILED)
        self.assertIn("http.412", again.stderr)
        self.assertEqual(request(store.address, "GET", "/v1/objects/jj/config/fleet").body, config.read_bytes())

    def test_init_asks_a_person_and_keeps_the_answers(self):
        saved = self.folder / "answers.ini"
        self.jj("init", "--out", self.folder / "fleet.ini", "--save-answers", saved, typed="shelters\n", expect=BAD_INPUT)
        self.jj("init", "--answers", ANSWERS, "--out", self.folder / "fleet.ini", "--save-answers", saved)
        self.assertEqual(saved.read_text(), ANSWERS.read_text())

    def test_check_names_every_fault_at_once(self):
        bad = self.folder / "bad.ini"
        bad.write_text(self.config().read_text() + "\n[nonsense]\nkey = 1\n[more]\nkey = 2\n")
        complaint = self.jj("check", bad, expect=BAD_INPUT).stderr
        self.assertIn("nonsense", complaint)
        self.assertIn("more", complaint)

    def test_ask_streamed_and_whole_give_the_same_answer(self):
        engine = self.start("jj-fake-engine")
        options = ("is shelter 4 free", "--service", "bookhelp", "--max-tokens", 5, "--node", engine.address)
        streamed = json.loads(self.jj("--json", "ask", *options).stdout)
        self.assertEqual(streamed["tokens"], 5)
        self.assertEqual(self.jj("ask", *options, "--whole").stdout.strip(), streamed["answer"].strip())

    def test_ask_tells_refused_from_unreachable_from_unknown(self):
        engine = self.start("jj-fake-engine")
        options = ("--service", "bookhelp", "--node", engine.address)
        engine.faults(refuse=True)
        self.assertIn("engine.Refused", self.jj("ask", "hello", *options, expect=FAILED).stderr)
        engine.faults(refuse=False)
        self.jj("ask", "CRASH-THE-ENGINE", *options, "--whole", expect=OUTCOME_UNKNOWN)
        engine.kill()
        self.jj("ask", "hello", *options, expect=UNREACHABLE)

    def test_bad_options_and_files_send_nothing(self):
        self.jj("ask", expect=BAD_INPUT)
        self.jj("nonsense", expect=BAD_INPUT)
        self.jj("submit", self.folder / "absent", "--service", "s", expect=BAD_INPUT)
        self.jj("drain", "--token-file", self.folder / "absent", expect=BAD_INPUT)
        self.jj("status", "1", "--node", "localhost:80", expect=BAD_INPUT)

    def test_help_of_every_command_names_the_exit_codes(self):
        listed = self.jj("--help").stdout.split("Subcommands:")[1].split("Exit codes")[0].split("\n")
        commands = [line.split()[0] for line in listed if line.startswith("  ") and not line.startswith("   ")]
        self.assertGreaterEqual(len(commands), 11)
        for command in commands:
            self.assertIn("outcome unknown", self.jj(command, "--help").stdout)

    def test_losses_counts_what_was_not_in_time(self):
        log = self.folder / "day.log"
        log.write_text("\n".join([
            '{"ts":1,"host":"n","event":"engineChanged","engine":"e","draining":"no","slots":4}',
            'n 1.5 {"ts":1000,"host":"n","event":"sent","request":"a","route":"r"}',
            '{"ts":1030,"host":"n","event":"firstEvent","request":"a","route":"r","afterMs":30,"engineMs":30,"objectiveMs":300}',
            '{"ts":1800,"host":"n","event":"answered","request":"a","route":"r","afterMs":800}',
            '{"ts":1100,"host":"n","event":"refused","request":"b","route":"r","reason":"noSlotInTime"}']) + "\n")
        group = json.loads(self.jj("--json", "losses", str(log)).stdout)["groups"]["r"]
        self.assertEqual((group["asked"], group["inTime"], group["possible"]), (2, 1, 2))
        self.assertEqual(group["causes"], {"noSlot": {"lost": 1, "avoidable": 1}})
        self.assertIn("from 0 ms", self.jj("losses", "--step", "1000", str(log)).stdout)
        self.jj("losses", "--step", "5", str(log), expect=BAD_INPUT)
        self.jj("losses", str(self.folder / "none.log"), expect=BAD_INPUT)
        empty = self.folder / "empty.log"
        empty.write_text("")
        self.jj("losses", str(empty), expect=BAD_INPUT)

    def test_timeline_merges_filters_and_writes_a_trace(self):
        lines = [{"at": 5, "host": "a", "incarnation": 1, "seq": 0, "kind": "requestAccepted", "request": "0000000000000001"},
                 {"at": 9, "host": "a", "incarnation": 1, "seq": 1, "kind": "requestFinished", "request": "0000000000000001"}]
        other = {"at": 7, "host": "b", "incarnation": 1, "seq": 0, "kind": "leaseTaken", "job": "0000000000000002", "epoch": 4}
        first, second, trace = self.folder / "a.events", self.folder / "b.events", self.folder / "trace.json"
        first.write_text("".join(json.dumps(line) + "\n" for line in lines) + '{"at": 10, "ho')
        second.write_text(json.dumps(other) + "\n")
        merged = self.jj("--json", "timeline", first, second)
        self.assertEqual([json.loads(line)["at"] for line in merged.stdout.splitlines()], [5, 7, 9])
        self.assertIn("1 lines were no events", merged.stderr)
        self.assertIn("leaseTaken", self.jj("timeline", second, "--job", "2").stdout)
        self.assertEqual(self.jj("timeline", first, "--kind", "leaseTaken").stdout, "")
        self.jj("timeline", first, second, "--trace", trace)
        self.assertEqual(sum(entry["ph"] in "be" for entry in json.loads(trace.read_text())["traceEvents"]), 2)
        self.jj("timeline", first, "--kind", "nonsense", expect=BAD_INPUT)

    # An operator asks after a bad night whether a promise was broken. A booking ran twice although its caller received that it had
    # not run, and a job that was acknowledged stands nowhere: the audit has to say so.
    def test_audit_finds_a_lost_job_and_a_booking_that_ran_twice(self):
        store, service = self.start("jj-fake-objects"), self.start("jj-fake-service")
        records = self.folder / "records"
        records.write_text('{"key": "k", "run": "ran"}\n')
        request(service.address, "POST", "/bookings", "x", {"Idempotency-Key": "k"})
        options = ("audit", "--store", store.address, "--service", service.address, "--records", records)
        self.assertEqual(json.loads(self.jj("--json", *options).stdout)["findings"], 0)
        request(service.address, "POST", "/bookings", "x", {"Idempotency-Key": "k"})
        records.write_text('{"key": "k", "run": "notRun"}\n{"job": "0000000000000005", "items": 3}\n')
        report = json.loads(self.jj("--json", *options, expect=FINDINGS).stdout)
        self.assertEqual((report["lost"], report["doubled"], report["untrue"]), (1, 1, 1))
        records.write_text("nonsense\n")
        self.jj(*options, expect=BAD_INPUT)


if __name__ == "__main__":
    unittest.main()
