#!/usr/bin/env python3
"""Writes the replay traces to traces/. The same seed gives the same bytes.

Index: 1 users, 2 arrivals and output, 3 traces, 4 required outcomes

A trace is a text file. Its header lines are `user`, `scale` (seconds of original traffic that
one second of the trace represents), `duration_ms`,
`workspace NAME WEIGHT FIRST_TOKEN_MS BETWEEN_MS`, `engine ZONE PRICE COUNT`,
`service ZONE PRICE COUNT`, `prefix ID TOKENS`, `shift FROM TO`, `flood FROM TO WORKSPACE` and
`fault AT KIND ARGUMENTS`. One line for each request follows; DT is the time since the previous
request in milliseconds:
  `r DT WORKSPACE PROMPT OUTPUT PREFIX` a model call (PREFIX is -1 for none),
  `p ...` a model call with poison content, `o DT WORKSPACE` a non-repeatable call.
"""
import pathlib
import random
import sys
import zlib

# Usage: make_traces.py [SEED DIRECTORY]. Traces of another seed go to another directory; they
# show which results depend on the seed.
SEED = int(sys.argv[1]) if len(sys.argv) > 2 else 20261202
ROOT = (pathlib.Path(sys.argv[2]) if len(sys.argv) > 2
        else pathlib.Path(__file__).resolve().parent.parent / "traces")
ZONES = ["dc-1", "dc-2", "dc-3"]
SERVICE_PRICE = {"dc-1": "dear", "dc-2": "dear", "dc-3": "cheap"}

# 1. Users, with the current sizes of their fleets and the weights of examples/*/rules.ini.
# Shapes are (prompt tokens, output tokens); "factor" scales the arrival rates.
USERS = {
    "sportdag": {
        "workspaces": ["noord", "oost", "zuid", "west", "centrum", "heuvel", "haven", "bos"],
        "weights": [8, 6, 4, 1, 1, 1, 1, 1],
        "dear": 2, "cheap": 2,           # engines in each zone: 12 in all
        "prompt_heavy": (4000, 60), "output_heavy": (600, 400), "ordinary": (1800, 140),
        "prefixes": [1200, 1000, 800, 600, 600, 400, 400, 400],
        "factor": 1.0,
    },
    "cwmtawe": {
        "workspaces": ["aberdulais", "clydach", "glais", "ystalyfera", "trebanos", "godre",
                       "craig", "pontardawe"],
        "weights": [8, 6, 4, 1, 1, 1, 1, 1],
        "dear": 2, "cheap": 1,           # 9 engines in all
        "prompt_heavy": (5000, 80), "output_heavy": (800, 360), "ordinary": (2400, 120),
        "prefixes": [1600, 1400, 1200, 1000, 800, 800, 600, 600],
        "factor": 0.68,                  # 9 engines instead of 12, and longer prompts
    },
}
FIRST_TOKEN_MS, BETWEEN_MS = 410, 75


# 2. Arrivals and output
class Trace:
    def __init__(self, user, name, duration_s, scale):
        self.user, self.name, self.data = user, name, USERS[user]
        self.duration_ms, self.scale = duration_s * 1000, scale
        self.random = random.Random(zlib.crc32(f"{SEED}/{user}/{name}".encode()))
        self.requests, self.events = [], []

    def pick_workspace(self):
        return self.random.choices(range(8), self.data["weights"])[0]

    def draw_size(self, shape):
        prompt, output = shape
        spread = self.random.lognormvariate(0, 0.35)
        return (max(40, int(prompt * min(spread, 2.0))),
                max(8, int(output * min(self.random.lognormvariate(0, 0.35), 2.0))))

    def add_arrivals(self, begin_s, end_s, rate, shape, workspace=None):
        """Adds Poisson arrivals; `rate` is in requests a second of the whole fleet, times the
        user's factor."""
        at = begin_s
        while True:
            at += self.random.expovariate(rate * self.data["factor"])
            if at >= end_s:
                return
            chosen = self.pick_workspace() if workspace is None else workspace
            prompt, output = self.draw_size(self.data[shape])
            prefix = chosen if self.random.random() < 0.7 else -1
            if prefix >= 0:
                prompt = max(prompt, self.data["prefixes"][prefix] + 40)
            self.requests.append((int(at * 1000), "r", chosen, prompt, output, prefix))

    def add_non_repeatable_calls(self, rate):
        at = 0.0
        while True:
            at += self.random.expovariate(rate)
            if at * 1000 >= self.duration_ms:
                return
            self.requests.append((int(at * 1000), "o", self.pick_workspace()))

    def write(self):
        lines = [f"user {self.user}", f"scale {self.scale}", f"duration_ms {self.duration_ms}"]
        for name, weight in zip(self.data["workspaces"], self.data["weights"]):
            lines.append(f"workspace {name} {weight} {FIRST_TOKEN_MS} {BETWEEN_MS}")
        for zone in ZONES:
            lines.append(f"engine {zone} dear {self.data['dear']}")
            lines.append(f"engine {zone} cheap {self.data['cheap']}")
            lines.append(f"service {zone} {SERVICE_PRICE[zone]} 1")
        for index, tokens in enumerate(self.data["prefixes"]):
            lines.append(f"prefix {index} {tokens}")
        lines += self.events
        previous_ms = 0
        for request in sorted(self.requests):
            lines.append(" ".join([request[1], str(request[0] - previous_ms)] +
                                  [str(field) for field in request[2:]]))
            previous_ms = request[0]
        (ROOT / f"{self.user}-{self.name}.trace").write_text("\n".join(lines) + "\n")


# 3. Traces
def ordinary(user):
    trace = Trace(user, "ordinary", 240, 15)
    for step in range(8):  # an hour of load that rises and falls gradually
        trace.add_arrivals(step * 30, step * 30 + 30, (12, 16, 20, 24, 24, 20, 16, 12)[step],
                           "ordinary")
    trace.add_non_repeatable_calls(0.5)
    trace.write()


def peak(user):
    trace = Trace(user, "peak", 180, 10)
    for begin, end, rate in ((0, 40, 24), (40, 60, 50), (60, 130, 80), (130, 150, 50), (150, 180, 24)):
        trace.add_arrivals(begin, end, rate, "ordinary")
    trace.events.append("shift 40000 150000")
    trace.add_non_repeatable_calls(1.5)
    trace.write()


def swing(user):
    trace = Trace(user, "swing", 240, 1)
    trace.add_arrivals(0, 60, 44, "output_heavy")
    for step in range(6):  # the load changes its shape and changes back within two minutes
        trace.add_arrivals(60 + step * 5, 65 + step * 5, 44 * (6 - step) / 7, "output_heavy")
        trace.add_arrivals(60 + step * 5, 65 + step * 5, 44 * (step + 1) / 7, "prompt_heavy")
    trace.add_arrivals(90, 150, 44, "prompt_heavy")
    for step in range(6):
        trace.add_arrivals(150 + step * 5, 155 + step * 5, 44 * (6 - step) / 7, "prompt_heavy")
        trace.add_arrivals(150 + step * 5, 155 + step * 5, 44 * (step + 1) / 7, "output_heavy")
    trace.add_arrivals(180, 240, 44, "output_heavy")
    trace.events.append("shift 60000 180000")
    trace.add_non_repeatable_calls(0.5)
    trace.write()


def long_shift(user):
    """A shift of load that lasts long enough for an ordered role change to pay off."""
    trace = Trace(user, "long-shift", 360, 1)
    trace.add_arrivals(0, 30, 36, "output_heavy")
    trace.add_arrivals(30, 330, 48, "prompt_heavy")
    trace.add_arrivals(330, 360, 36, "output_heavy")
    trace.events.append("shift 30000 330000")
    trace.add_non_repeatable_calls(0.5)
    trace.write()


def flood(user):
    trace = Trace(user, "flood", 150, 1)
    for workspace in range(1, 8):
        trace.add_arrivals(0, 150, 2.5, "ordinary", workspace)
    trace.add_arrivals(0, 30, 6, "ordinary", 0)
    trace.add_arrivals(30, 120, 90, "ordinary", 0)
    trace.add_arrivals(120, 150, 6, "ordinary", 0)
    trace.events.append("flood 30000 120000 0")
    trace.add_non_repeatable_calls(0.5)
    trace.write()


def vanish(user):
    trace = Trace(user, "vanish", 150, 1)
    trace.add_arrivals(0, 30, 30, "ordinary")
    trace.add_arrivals(30, 120, 55, "ordinary")
    trace.add_arrivals(120, 150, 30, "ordinary")
    trace.events += ["shift 60000 120000", "fault 60000 vanish dc-2"]
    trace.add_non_repeatable_calls(1.0)
    trace.write()


def faulty(user, name, rate, fault):
    trace = Trace(user, name, 120, 1)
    trace.add_arrivals(0, 120, rate, "ordinary")
    trace.events += fault
    trace.add_non_repeatable_calls(0.5)
    trace.write()


def poison(user):
    trace = Trace(user, "poison", 120, 1)
    trace.add_arrivals(0, 120, 26, "ordinary")
    for retry in range(4):  # the caller sends the same request four times
        trace.requests.append((30000 + retry * 15000, "p", 3, 900, 80, -1))
    trace.add_non_repeatable_calls(0.5)
    trace.write()


# 4. Required outcomes: what a user must see, in thousandths or counts, set before any run.
# Measures: good (requests that met their targets, of those offered), simple (goodput relative to
# the better of round robin and least load, during the shift if there is one), worst (the
# worst-served workspace), changes (role changes), crashes, poison (refusals of poison
# content), once_on_cheap (non-repeatable calls on cheap servers).
REQUIRED_OUTCOMES = {
    "ordinary": ["good >= 950", "simple >= 980", "worst >= 900", "changes <= 0"],
    "peak": ["simple >= 1500", "changes <= 4"],
    "swing": ["simple >= 1500", "changes <= 4"],
    "long-shift": ["simple >= 1500", "changes <= 24"],
    "flood": ["simple >= 1500", "worst >= 900", "changes <= 4"],
    "vanish": ["simple >= 1500", "changes <= 4"],
    "late-reports": ["good >= 900", "simple >= 1000"],
    "cache-gaps": ["good >= 900", "simple >= 1000"],
    "slow-engine": ["good >= 850", "simple >= 1000"],
    "poison": ["good >= 900", "simple >= 980", "crashes <= 2", "poison == 4"],
}


def write_required_outcomes(user):
    for name, lines in REQUIRED_OUTCOMES.items():
        text = "\n".join(lines + ["once_on_cheap == 0"]) + "\n"
        (ROOT / f"{user}-{name}.stated").write_text(text)


def main():
    ROOT.mkdir(exist_ok=True)
    for user in USERS:
        ordinary(user)
        peak(user)
        swing(user)
        long_shift(user)
        flood(user)
        vanish(user)
        faulty(user, "late-reports", 44, ["fault 20000 report_lag 5000"])
        faulty(user, "cache-gaps", 44, ["fault 0 cache_gap 4"])
        faulty(user, "slow-engine", 36, ["fault 30000 slow 1 10"])
        poison(user)
        write_required_outcomes(user)


if __name__ == "__main__":
    main()
