"""Promises that only a whole fleet shows: rolling drains, configuration in force, leaving upstreams. Real processes on loopback.

No verdict depends on how fast anything is; the times are printed by `./build.sh measure fleet`.
"""

import json
import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))
from fleet import Fleet, http  # noqa: E402
from fleet_load import Load, results_of, submit  # noqa: E402

ANSWERS = "docs/examples/umthunzi.answers.ini"


class FleetTest(unittest.TestCase):
    def test_rolling_drain_under_load_fails_no_request(self):
        # A rolling restart at noon: members ask on the phone and a batch runs while each node in turn is asked to drain.
        # A question that was cut off, or refused though two other nodes serve, would be a member who hears nothing.
        # The balancer follows /readyz; a node that leaves finishes what it took and hands its batch items back.
        with Fleet(ANSWERS, nodes=3) as fleet:
            fleet.ready()
            job = submit(fleet.node(0), "bookhelp", 300)
            load = Load(fleet, "bookhelp", askers=6)
            load.start()
            load.wait_for(30)
            codes = []
            for number in range(3):
                codes.append(fleet.node(number).stop())
                node = fleet.restart_node(number)
                fleet.wait("the restarted node is ready", lambda n=node: http("GET", n.operators + "/readyz")[0] == 200)
                load.wait_for(load.answered + 20)
            load.stop()
            self.assertEqual(codes, [0, 0, 0])
            self.assertEqual((load.cut, load.refused), (0, 0), load.notes)
            fleet.wait("the job is done", lambda: json.loads(http("GET", fleet.node(1).callers + "/v1/jobs/" + job)[2]).get("state") == "done", 60)
            results = results_of(fleet.node(2), job)
            self.assertEqual(len(results), 300)
            self.assertEqual(len(set(results)), 300)

    def test_a_leaving_upstream_gets_no_new_stream_and_finishes_its_own(self):
        # An engine is to be replaced: operators mark it as leaving. Streams that it runs go on to their end, new ones go elsewhere.
        with Fleet(ANSWERS, nodes=2) as fleet:
            fleet.ready()
            leaving = fleet.engines[0].address
            self.ask_some(fleet)
            self.assertGreater(fleet.streams_begun(0), 0, "the engine takes part before the mark")
            text = pathlib.Path(fleet.config).read_text()
            marked = text.replace(f"address = {leaving}\n", f"address = {leaving}\nleaving = yes\n")
            self.assertNotEqual(text, marked)
            version = fleet.status(fleet.node(0))["config"]["applied"]
            status, _, body = http("PUT", fleet.node(0).operators + "/v1/config", marked.encode(),
                                   {"Authorization": "Bearer " + fleet.token, "If-Match": f'"{version}"'})
            self.assertEqual(status, 200, body)
            wanted = json.loads(body)["version"]
            fleet.wait("the mark is in force everywhere", lambda: all(fleet.status(n)["config"]["inForce"] == wanted for n in fleet.nodes))
            before = fleet.streams_begun(0)
            self.ask_some(fleet)
            self.assertEqual(fleet.streams_begun(0), before)

    def ask_some(self, fleet):
        load = Load(fleet, "bookhelp", askers=4)
        load.start()
        load.wait_for(40)
        load.stop()
        self.assertEqual((load.cut, load.refused), (0, 0), load.notes)

    def test_a_configuration_based_on_an_old_version_is_refused_with_both(self):
        # Two operators edit the same version; the second one's change would silently undo the first one's.
        with Fleet(ANSWERS, nodes=2) as fleet:
            fleet.ready()
            body = pathlib.Path(fleet.config).read_bytes()
            version = fleet.status(fleet.node(0))["config"]["applied"]
            headers = {"Authorization": "Bearer " + fleet.token, "If-Match": f'"{version}"'}
            self.assertEqual(http("PUT", fleet.node(0).operators + "/v1/config", body + b"\n", headers)[0], 200)
            status, _, answer = http("PUT", fleet.node(1).operators + "/v1/config", body + b"\n\n", headers)
            self.assertEqual(status, 409)
            self.assertIn("based on", answer.decode())

    def test_secrets_stay_out_of_logs_and_time_lines(self):
        # An operator sends a log file to a supplier; whoever reads the token in it could drain the fleet.
        # Calls with the token, right and misspelt, and a node that joins under the fleet's key must leave neither in any file.
        with Fleet(ANSWERS, nodes=2, node_sections="[log]\nlevel = trace") as fleet:
            fleet.ready()
            self.ask_some(fleet)
            for token in (fleet.token, fleet.token + "x"):
                http("PUT", fleet.node(0).operators + "/v1/config", b"[nonsense " + token.encode(), {"Authorization": "Bearer " + token, "If-Match": '"1"'})
            for node in fleet.nodes:
                self.assertEqual(node.stop(), 0)
            key = pathlib.Path(fleet.key_file).read_text()
            written = [path for path in pathlib.Path(fleet.folder).iterdir() if path.suffix in (".log", ".events")]
            self.assertGreater(sum(path.stat().st_size for path in written), 1000, "there is something to search")
            for path in written:
                text = path.read_text(errors="replace")
                self.assertNotIn(fleet.token, text, path.name)
                self.assertNotIn(key, text, path.name)

    def test_a_question_that_crashes_engines_falls_two_at_most(self):
        # A shopkeeper's question crashes whichever engine runs it, and the shopkeeper sends it again to every node.
        # Without quarantine each sending takes another engine down and everybody's streams on it.
        # The first crash makes it a suspect, the second quarantines its fingerprint on all nodes; others are answered all along.
        with Fleet(ANSWERS, nodes=3) as fleet:
            fleet.ready()
            load = Load(fleet, "bookhelp", askers=4)
            load.start()
            load.wait_for(20)
            body = json.dumps({"model": "bookhelp", "max_tokens": 8, "messages": [{"role": "user", "content": "CRASH-THE-ENGINE please"}]}).encode()
            statuses = []
            for number in range(6):
                statuses.append(http("POST", fleet.node(number % 3).callers + "/v1/chat/completions", body, {"Content-Type": "application/json"}, 30)[0])
            load.wait_for(load.answered + 20)
            load.stop()
            crashes = 0
            for number in range(len(fleet.engines)):
                crashes += pathlib.Path(fleet.path(f"engine-{number}.events")).read_text().count('"kind":"engineCrashed"')
            self.assertNotIn(200, statuses)
            self.assertGreaterEqual(crashes, 1, "the question does crash engines")
            self.assertLessEqual(crashes, 2, statuses)
            self.assertEqual(load.cut, 0, load.notes)


if __name__ == "__main__":
    unittest.main(verbosity=2)
