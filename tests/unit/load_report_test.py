"""Tests of scripts/load_report.py on lines as the daemons write them."""

import importlib.util
import io
import pathlib
import subprocess
import sys
import unittest

SCRIPT = pathlib.Path(__file__).parents[2] / "scripts" / "load_report.py"
spec = importlib.util.spec_from_file_location("load_report", SCRIPT)
load_report = importlib.util.module_from_spec(spec)
spec.loader.exec_module(load_report)


def send(id, t, server="i-1", work="call", wait=0, read=0):
    return (f"vm-a 1.0 s t={t} ev=send id={id} server={server} work={work} run=0 tokens=400 "
            f"wait_ms={wait} read_ms={read} left_ms=9000")


def end(id, t, outcome="served", status=200, first=0, took=0, runs=1, server="i-1", vm="vm-a"):
    return (f'{vm} 1.0 s t={t} ev=end id={id} outcome={outcome} status={status} route=r-1 '
            f'service=chat workspace="big one" rank=0 objective_ms=500 runs={runs} fault="" '
            f'server={server} framing="" first_ms={first} pause_ms=0 took_ms={took}')


def read(*lines):
    log = load_report.Log({}, 8)
    log.read("-", ["vm-a 0.1 s t=1 ev=start vm=vm-a data_centre=north", *lines])
    return log, log.finish()


def causes(*lines):
    _, calls = read(*lines)
    slow = load_report.slow_servers(load_report.uses_of(calls))
    return [load_report.cause_of(call, slow) for call in calls
            if load_report.verdict(call) == "late"]


class LoadReport(unittest.TestCase):
    def test_lines_that_are_not_the_daemons_are_counted_and_skipped(self):
        log, calls = read("", "ev", "cpu 12 %", "event=end id=1", "ev=end id=x status=many")
        self.assertEqual(log.skipped, 4)
        self.assertEqual(len(calls), 1)

    def test_same_id_at_two_vms_is_two_calls(self):
        log, calls = read(end("a", 1000), end("a", 1000, vm="vm-b"))
        self.assertEqual([call.centre for call in calls], ["north", "?"])

    def test_late_call_with_a_long_predicted_wait(self):
        self.assertEqual(causes(send("a", 1000, wait=400, read=200),
                                end("a", 1700, first=650, took=700)), ["wait"])

    def test_late_call_that_failed_at_another_server_first(self):
        self.assertEqual(causes(send("a", 1000, server="i-2"), send("a", 1400, read=100),
                                end("a", 1700, first=600, took=700)), ["failed"])

    def test_late_call_that_was_not_sent_at_once(self):
        self.assertEqual(causes(send("a", 1400, read=100),
                                end("a", 1700, first=600, took=700)), ["held"])

    def test_late_calls_of_a_slow_server_and_of_a_wrong_prediction(self):
        lines = []
        for server, first in (("i-1", 200), ("i-2", 200), ("i-3", 600)):
            for number in range(6):
                id = f"{server}-{number}"
                lines += [send(id, 1000, server, read=150),
                          end(id, 2000, first=first, took=1000, server=server)]
        lines += [send("z", 1000, read=150), end("z", 2000, first=700, took=1000)]
        self.assertEqual(causes(*lines), ["slow_server"] * 6 + ["prediction"])

    def test_calls_without_a_response_of_a_server(self):
        broken = "vm-a 1 t=1 ev=send_failed id=b fate=unknown fault=broken path={} status={}"
        for status, runs, lines, cause in (
            (503, 0, (), "never sent"),
            (502, 1, (broken.format('""', 0),), "no response on a kept connection"),
            (502, 1, (broken.format("direct", 0),), "no response on a new one"),
            (502, 1, (broken.format('""', 200),), ""),
        ):
            _, calls = read(*lines, end("b", 5, "broken", status, runs=runs))
            self.assertEqual(load_report.unsent_cause(calls[0]), cause)

    def test_served_calls_count_as_often_as_they_are_sampled(self):
        log, calls = read(end("a", 1000, first=100), end("b", 1000, "queue", 503, runs=0))
        self.assertEqual([log.weight(call) for call in calls], [8, 1])
        counts, _ = load_report.seconds_of(log, calls)[1]
        self.assertEqual((counts["in_time"], counts["refused"]), (8, 1))

    def test_report_is_printed_and_drawn(self):
        log, calls = read(send("a", 1000), end("a", 1700, first=650, took=700))
        out, sys.stdout = sys.stdout, io.StringIO()
        try:
            load_report.report(log, calls, 12)
            load_report.second_table(log, load_report.seconds_of(log, calls))
            text = sys.stdout.getvalue()
        finally:
            sys.stdout = out
        self.assertIn("| big one |", text)
        self.assertIn("| north |", text)
        self.assertIn("</svg>", load_report.svg(load_report.seconds_of(log, calls)))

    def test_bad_input_exits_with_a_message(self):
        for options, text in (([], "nothing of a daemon\n"),
                              (["--objective", "r-1"], end("a", 1)),
                              (["--sample", "0"], end("a", 1))):
            done = subprocess.run([sys.executable, SCRIPT, *options], input=text, text=True,
                                  capture_output=True)
            self.assertEqual(done.returncode, 2)
            self.assertIn("load_report", done.stderr)


if __name__ == "__main__":
    unittest.main()
