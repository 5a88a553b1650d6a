#!/usr/bin/env python3
"""Reports from log lines of the daemons how calls fared under load.

    load_report.py [options] [FILE ...]

Reads the VMs' output from files or standard input and prints tables; --svg FILE also draws
the time line. Lines of several VMs may be mixed if each has a prefix that names its VM
before `t=` or `ev=`; without a prefix, each file is taken for one VM. A VM's data centre
comes from its `start` line. Lines that aren't the daemons' are skipped and counted.

Tables
    calls       by route, by workspace, by data centre: calls, in time, late, refused,
                failed, not done, and the time to the first event
    waits       where the time to the first event went: before the first send, in failed
                attempts, predicted wait and prefill at the engine, and what was beyond
                the prediction
    late        by route and cause; `wait` and `prefill` were predicted at the send,
                `slow_server` and `prediction` were not
    refused     by route, cause and status
    failed      by route, outcome, status and fault
    unsent      calls that ended with 502, 503 or 504 though no server got them, and 502
                or 504 with no byte of a response
    attempts    failed attempts by event, fate, fault, status and path
    servers     of each service: calls, first event and prediction, slowest servers
    seconds     time line, with the events that changed what the VMs used

Sampling
    The daemons log all lines of one call in --sample, and of the others only failures and
    refusals. Served calls therefore count --sample times, all others once. Waits, causes of
    lateness and use of servers are shares of the sampled calls. If VMs dropped lines
    (`lines_dropped`), the report says how many.

Objectives
    `objective_ms` of the `end` line, or --objective ROUTE=MS for logs without it. A call of
    a route without an objective is never late.

Bad options exit with status 2 and a message, and so does input without a single line of a
daemon.
"""

import argparse
import collections
import re
import sys

# Index: 1 parsing, 2 collection, 3 causes, 4 tables, 5 plot, 6 main

# 1. Parsing

LINE = re.compile(r"(?:\bt=(\d+) )?\bev=([a-z_]+)((?: .*)?)$")
FIELD = re.compile(r' ([a-z_]+)=("(?:[^"\\]|\\.)*"|[^ ]*)')
MACHINE = re.compile(r"[A-Za-z][\w.:-]*")
NUMBERS = {
    "age_ms", "count", "fetch_ms", "first_ms", "left_ms", "objective_ms", "pause_ms", "rank",
    "read_ms", "run", "runs", "status", "t", "tokens", "took_ms", "wait_ms",
}
FAILED_ATTEMPTS = ("send_failed", "server_error", "prefill_failed")
MARKS = (
    "links_lost", "relays_lost", "role_change", "server_lost", "server_order", "server_pause",
    "servers_lost", "store_lost", "start", "stop",
)  # events of the time line


def parse(text):
    """Returns the prefix, event and fields of a line; None if it isn't a daemon's."""
    found = LINE.search(text)
    if not found:
        return None
    fields = {}
    for name, value in FIELD.findall(found[3]):
        if value.startswith('"'):
            value = value[1:-1]
        if name in NUMBERS:
            try:
                value = int(value)
            except ValueError:
                continue
        fields[name] = value
    if found[1]:
        fields["t"] = int(found[1])
    return text[: found.start()], found[2], fields


def source_of(prefix, file):
    """The VM that wrote a line: the first word of its prefix that isn't a number."""
    for word in prefix.replace("|", " ").replace("[", " ").replace("]", " ").split():
        if MACHINE.fullmatch(word):
            return word.rstrip(":")
    return file


# 2. Collection


class Call:
    """The lines of one call at one VM."""

    __slots__ = ("centre", "end", "failures", "sends", "vm")

    def __init__(self, vm):
        self.vm = vm
        self.centre = "?"  # known once all lines are read
        self.sends = []
        self.failures = []
        self.end = None


class Log:
    """What is kept of all lines. Steps of a call are dropped if its end isn't seen."""

    def __init__(self, objectives, sample):
        self.objectives = objectives
        self.sample = sample
        self.lines = 0
        self.skipped = 0
        self.dropped = 0
        self.centres = {}  # data centre by VM
        self.services = {}  # service by server, from `server` lines and ended calls
        self.calls = {}
        self.marks = collections.defaultdict(collections.Counter)  # by second
        self.first_time = None  # Unix time, ms
        self.last_time = 0

    def read(self, file, lines):
        for text in lines:
            parsed = parse(text.rstrip("\n"))
            if parsed is None:
                self.skipped += 1
                continue
            self.lines += 1
            prefix, event, fields = parsed
            self.take(source_of(prefix, file), event, fields)

    def take(self, vm, event, fields):
        time = fields.get("t")
        if time is not None:
            self.first_time = min(self.first_time or time, time)
            self.last_time = max(self.last_time, time)
        if event == "start":
            self.centres[vm] = fields.get("data_centre", "")
        elif event == "server":
            self.services[fields.get("server", "")] = fields.get("service", "")
        elif event == "lines_dropped":
            self.dropped += fields.get("count", 0)
        if event in MARKS and time is not None:
            self.marks[time // 1000][event] += 1
        if event in ("send", "end") or event in FAILED_ATTEMPTS:
            key = (vm, fields.get("id", ""))
            call = self.calls.setdefault(key, Call(vm))
            if event == "send":
                call.sends.append(fields)
            elif event == "end":
                self.end_call(key, call, fields)
            else:
                fields["event"] = event
                call.failures.append(fields)

    def end_call(self, key, call, fields):
        if call.end is not None:  # an id that came again
            self.calls[(*key, len(self.calls))] = self.calls.pop(key)
            call = self.calls.setdefault(key, Call(call.vm))
        call.end = fields

    def finish(self):
        """Sets data centres, services and objectives; returns the ended calls."""
        ended = [call for call in self.calls.values() if call.end is not None]
        for call in ended:
            call.centre = self.centres.get(call.vm, "?")
            if call.end.get("service") and call.end.get("server"):
                self.services.setdefault(call.end["server"], call.end["service"])
        routes = self.services_of_routes(ended)
        for call in ended:
            end = call.end
            route = end.get("route", "")
            end["objective_ms"] = end.get("objective_ms") or self.objectives.get(route, 0)
            end["service"] = end.get("service") or routes.get(route, "?")
        return ended

    def services_of_routes(self, ended):
        """For lines without `service`: the service of most servers that a route used."""
        used = collections.defaultdict(collections.Counter)
        for call in ended:
            for server in [call.end.get("server", ""), *(send["server"] for send in call.sends)]:
                if server in self.services:
                    used[call.end.get("route", "")][self.services[server]] += 1
        return {route: counts.most_common(1)[0][0] for route, counts in used.items()}

    def weight(self, call):
        return self.sample if call.end.get("outcome") == "served" else 1


# 3. Causes

STATUS_NO_RESPONSE = (502, 503, 504)  # ends a call that no server responded to
STATUS_REFUSED = (401, 403, 404, 429, 503)


def response_ms(call):
    """Time to the first event, or to the whole response if it has no events."""
    return call.end.get("first_ms") or call.end.get("took_ms", 0)


def verdict(call):
    """How a call fared for its caller: one of FATES."""
    end = call.end
    if end.get("outcome") == "caller_left":
        return "left"
    if end.get("outcome") == "served":
        if end.get("status", 0) >= 500:
            return "failed"
        late = end["objective_ms"] and response_ms(call) > end["objective_ms"]
        return "late" if late else "in_time"
    return "refused" if end.get("status") in STATUS_REFUSED else "failed"


def parts_of(call):
    """Splits the time to the first event of a sampled call, in ms.

    held: arrival to first send; failed: to the send that was served or its prefill;
    wait, prefill: as predicted there; beyond: the rest. `observed` is the time that the
    server of the prefill took for what was predicted.
    """
    end, sends = call.end, call.sends
    if not sends or "t" not in end:
        return None
    arrived = end["t"] - end.get("took_ms", 0)
    last = len(sends) - 1
    elsewhere = sends[last].get("work") == "run" and last > 0
    served = sends[last - 1] if elsewhere else sends[last]
    held = max(0, sends[0]["t"] - arrived)
    failed = max(0, served["t"] - sends[0]["t"])
    wait, prefill = served.get("wait_ms", 0), served.get("read_ms", 0)
    beyond = response_ms(call) - held - failed - wait - prefill
    observed = sends[last]["t"] - served["t"] if elsewhere else wait + prefill + beyond
    return {"held": held, "failed": failed, "wait": wait, "prefill": prefill, "beyond": beyond,
            "tokens": served.get("tokens", 0), "server": served["server"], "observed": observed}


class Use:
    """How one server was used by sampled calls; its times by those without a failure."""

    def __init__(self):
        self.calls = 0
        self.failures = 0
        self.observed = []
        self.predicted = []

    def excess(self):
        """Mean ms beyond the prediction."""
        return mean(self.observed) - mean(self.predicted)


def uses_of(calls):
    """Use by (service, server)."""
    uses = collections.defaultdict(Use)
    for call in calls:
        for failure in call.failures:
            uses[(call.end["service"], failure.get("server", ""))].failures += 1
        for send in call.sends:
            uses[(call.end["service"], send["server"])].calls += 1
        parts = parts_of(call)
        if parts and not call.failures and call.end.get("outcome") == "served":
            use = uses[(call.end["service"], parts["server"])]
            use.observed.append(parts["observed"])
            use.predicted.append(parts["wait"] + parts["prefill"])
    return uses


SLOW = 1.5  # times the median of a service's servers
FEWEST = 5  # calls from which a server is compared


def slow_servers(uses):
    """Servers whose first events take SLOW times what is usual in their service, for the
    work that was predicted for them."""
    by_service = collections.defaultdict(dict)
    for (service, server), use in uses.items():
        if len(use.observed) >= FEWEST:
            expected = mean(use.predicted)
            ratio = mean(use.observed) / expected if expected >= 1 else mean(use.observed)
            by_service[service][server] = ratio
    slow = {}
    for service, ratios in by_service.items():
        usual = quantile(ratios.values(), 0.5)
        for server, ratio in ratios.items():
            if usual > 0 and ratio >= SLOW * usual:
                slow[(service, server)] = ratio / usual
    return slow


def cause_of(call, slow):
    """Why a late call was late: the first part without which it would not have been."""
    parts = parts_of(call)
    if parts is None:
        return "not_sampled"
    excess = response_ms(call) - call.end["objective_ms"]
    for name in ("failed", "held"):
        if parts[name] >= excess:
            return name
    if parts["wait"] + parts["prefill"] > call.end["objective_ms"]:
        return "wait" if parts["wait"] >= parts["prefill"] else "prefill"
    is_slow = (call.end["service"], parts["server"]) in slow
    return "slow_server" if is_slow else "prediction"


def unsent_cause(call):
    """Why a call of status 502 to 504 came to nothing; empty if a server responded."""
    end = call.end
    if end.get("status") not in STATUS_NO_RESPONSE or end.get("outcome") == "served":
        return ""
    if end.get("runs", 0) == 0:
        return "never sent"
    if any(failure.get("status", 0) for failure in call.failures) or end.get("framing"):
        return ""
    paths = {failure.get("path", "") for failure in call.failures}
    return "no response on a kept connection" if "" in paths else "no response on a new one"


# 4. Tables


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def quantile(values, part):
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))] if values else 0.0


def table(title, head, rows, note=""):
    """Prints a table, numbers to the right."""
    print(f"\n## {title}\n")
    if note:
        print(note + "\n")
    if not rows:
        print("none")
        return
    cells = [[text(value) for value in row] for row in [head, *rows]]
    widths = [max(len(row[at]) for row in cells) for at in range(len(head))]
    lines = [
        "| "
        + " | ".join(
            cell.ljust(width) if at == 0 else cell.rjust(width)
            for at, (cell, width) in enumerate(zip(row, widths))
        )
        + " |"
        for row in cells
    ]
    lines.insert(1, "|" + "|".join("-" * (width + 2) for width in widths) + "|")
    print("\n".join(lines))


def text(value):
    if isinstance(value, float):
        return f"{value:.3f}" if abs(value) < 1 else f"{value:.0f}"
    return str(value)


def fate_table(log, title, calls, key, top):
    groups = collections.defaultdict(list)
    for call in calls:
        groups[key(call)].append(call)
    rows = []
    for name, members in groups.items():
        counts = collections.Counter()
        for call in members:
            counts[verdict(call)] += log.weight(call)
        total = sum(counts.values())
        times = [response_ms(call) for call in members if call.end.get("outcome") == "served"]
        objectives = {call.end["objective_ms"] for call in members}
        rows.append(
            [name or "-", max(objectives), total]
            + [counts[each] / total for each in ("in_time", "late", "refused", "failed", "left")]
            + [mean(times), quantile(times, 0.5), quantile(times, 0.95)]
        )
    rows.sort(key=lambda row: -row[2])
    head = ["", "objective", "calls", "in time", "late", "refused", "failed", "left"]
    more = f"{len(rows) - top} more not shown" if len(rows) > top else ""
    table(title, head + ["mean ms", "50 % ms", "95 % ms"], rows[:top], more)


def count_table(title, head, calls, key, top, weight=lambda call: 1):
    """Counts calls by `key`, which returns a tuple or a list of tuples."""
    counts = collections.Counter()
    for call in calls:
        keys = key(call)
        for each in keys if isinstance(keys, list) else [keys]:
            counts[each] += weight(call)
    rows = [[*name, count] for name, count in counts.most_common(top)]
    table(title, [*head, "calls"], rows)


def wait_table(calls):
    groups = collections.defaultdict(list)
    for call in calls:
        parts = parts_of(call)
        if parts and call.end.get("outcome") == "served":
            groups[(call.end.get("route", ""), verdict(call))].append(parts)
    rows = []
    names = ("held", "failed", "wait", "prefill", "beyond")
    for (route, fate), members in sorted(groups.items()):
        row = [route, fate, len(members), mean(parts["tokens"] for parts in members)]
        row += [mean(parts[name] for parts in members) for name in names]
        rows.append(row + [quantile([parts["beyond"] for parts in members], 0.95)])
    head = ["route", "", "sampled", "tokens", *names, "beyond 95 %"]
    table("Waits: where the time to the first event went, mean ms", head, rows)


def late_table(calls, slow):
    late = [call for call in calls if verdict(call) == "late"]
    rows = []
    groups = collections.defaultdict(collections.Counter)
    for call in late:
        groups[call.end.get("route", "")][cause_of(call, slow)] += 1
    causes = ("failed", "held", "wait", "prefill", "slow_server", "prediction", "not_sampled")
    for route, counts in sorted(groups.items(), key=lambda item: -sum(item[1].values())):
        total = sum(counts.values())
        rows.append([route, total] + [counts[cause] / total for cause in causes])
    table("Late: cause, shares of the sampled late calls", ["route", "late", *causes], rows)


def server_tables(uses, slow, top):
    services = collections.defaultdict(list)
    for (service, server), use in uses.items():
        services[service].append((server, use))
    rows = []
    for service, members in sorted(services.items()):
        counts = [use.calls for _, use in members]
        means = [mean(use.observed) for _, use in members if len(use.observed) >= FEWEST]
        rows.append(
            [service, len(members), sum(counts), quantile(counts, 0.1), quantile(counts, 0.9)]
            + [quantile(means, each) for each in (0.1, 0.5, 0.9)]
            + [sum((service, server) in slow for server, _ in members)]
            + [sum(use.failures for _, use in members)]
        )
    head = ["service", "servers", "sends", "10 % of them", "90 %", "first 10 % ms", "50 %", "90 %"]
    table("Servers by service", head + ["slow", "failed sends"], rows)
    for service, members in sorted(services.items()):
        known = [each for each in members if len(each[1].observed) >= FEWEST]
        known.sort(key=lambda each: -each[1].excess())
        rows = [
            [server, use.calls, use.failures, mean(use.observed), quantile(use.observed, 0.95)]
            + [mean(use.predicted), use.excess(), f"{slow.get((service, server), 0):.1f}"]
            for server, use in known
        ]
        shown = rows if len(rows) <= 2 * top else rows[:top] + rows[-top:]
        head = ["server", "sends", "failed", "first mean ms", "95 % ms", "predicted ms", "beyond ms"]
        note = f"the {top} furthest beyond their prediction, and the {top} nearest"
        table(f"Servers of {service}", head + ["slow by"], shown, note)


def seconds_of(log, calls):
    """Counts and times by second of arrival, from the first line on."""
    begin = (log.first_time or 0) // 1000
    seconds = collections.defaultdict(lambda: [collections.Counter(), []])
    for call in calls:
        if "t" not in call.end:
            continue
        counts, times = seconds[(call.end["t"] - call.end.get("took_ms", 0)) // 1000 - begin]
        counts[verdict(call)] += log.weight(call)
        if call.end.get("outcome") == "served":
            times.append(response_ms(call))
    return seconds


def second_table(log, seconds):
    begin = (log.first_time or 0) // 1000
    rows = []
    for second, (counts, times) in sorted(seconds.items()):
        marks = log.marks.get(second + begin, {})
        events = " ".join(f"{name}:{count}" for name, count in sorted(marks.items()))
        row = [str(second), sum(counts.values())] + [counts[fate] for fate in FATES]
        rows.append(row + [quantile(times, 0.95), events])
    table("Seconds, by arrival", ["s", "calls", *FATES, "95 % ms", "events"], rows)


# 5. Plot

FATES = ("in_time", "late", "refused", "failed", "left")
COLOURS = ("#4c9f70", "#e0a030", "#5470b0", "#c0392b", "#999999")


def svg(seconds):
    """Stacked bars of calls by second, and the 95 % of the first event as a line."""
    width, height, left, top = 960, 360, 60, 30
    last = max(seconds, default=0) + 1
    first = min(seconds, default=0)
    most = max((sum(counts.values()) for counts, _ in seconds.values()), default=1) or 1
    slowest = max((quantile(times, 0.95) for _, times in seconds.values()), default=1) or 1
    step = (width - 2 * left) / max(1, last - first)
    floor = height - 40
    scale = (floor - top) / most
    out = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}"'
        ' font-family="sans-serif" font-size="11">',
        f'<rect width="{width}" height="{height}" fill="white"/>',
    ]
    points = []
    for second, (counts, times) in sorted(seconds.items()):
        x, y = left + (second - first) * step, floor
        for fate, colour in zip(FATES, COLOURS):
            size = counts[fate] * scale
            y -= size
            if size > 0:
                out.append(
                    f'<rect x="{x:.1f}" y="{y:.1f}" width="{step * 0.9:.1f}"'
                    f' height="{size:.1f}" fill="{colour}"/>'
                )
        if times:
            drop = quantile(times, 0.95) / slowest * (floor - top)
            points.append(f"{x + step * 0.45:.1f},{floor - drop:.1f}")
        if second % 5 == 0:
            out.append(f'<text x="{x:.1f}" y="{floor + 14}">{second} s</text>')
    out.append(f'<polyline points="{" ".join(points)}" fill="none" stroke="black"/>')
    out.append(f'<text x="4" y="{top}">{most:.0f} calls/s</text>')
    out.append(f'<text x="{width - left + 4}" y="{top}">{slowest:.0f} ms</text>')
    for at, (name, colour) in enumerate([*zip(FATES, COLOURS), ("95 % first event", "black")]):
        x = left + at * 130
        out.append(f'<rect x="{x}" y="{height - 16}" width="10" height="10" fill="{colour}"/>')
        out.append(f'<text x="{x + 14}" y="{height - 7}">{name}</text>')
    return "\n".join([*out, "</svg>"]) + "\n"


# 6. Main


def arguments():
    reader = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    reader.add_argument("files", nargs="*", metavar="FILE", help="default: standard input")
    reader.add_argument("--sample", type=int, default=8, help="sampling of the log (8)")
    reader.add_argument("--objective", action="append", default=[], metavar="ROUTE=MS")
    reader.add_argument("--top", type=int, default=12, help="rows of long tables (12)")
    reader.add_argument("--svg", metavar="FILE", help="draw the time line")
    values = reader.parse_args()
    if values.sample < 1 or values.top < 1:
        reader.error("--sample and --top must be at least 1")
    objectives = {}
    for each in values.objective:
        route, _, limit = each.rpartition("=")
        if not route or not limit.isdigit():
            reader.error(f"--objective {each!r} is not ROUTE=MS")
        objectives[route] = int(limit)
    values.objective = objectives
    return values


def report(log, calls, top):
    span = (log.last_time - (log.first_time or 0)) / 1000
    print(f"{log.lines} lines of {len(log.centres)} VMs in {span:.1f} s; {log.skipped} others "
          f"skipped, {log.dropped} dropped by the VMs; {len(calls)} calls with an end")
    uses = uses_of(calls)
    slow = slow_servers(uses)
    fate_table(log, "Calls by route", calls, lambda call: call.end.get("route", ""), top)
    fate_table(log, "Calls by workspace", calls, lambda call: call.end.get("workspace", ""), top)
    fate_table(log, "Calls by data centre", calls, lambda call: call.centre, top)
    wait_table(calls)
    late_table(calls, slow)
    refused = [call for call in calls if verdict(call) == "refused"]
    failed = [call for call in calls if verdict(call) == "failed"]
    field = lambda *names: lambda call: tuple(call.end.get(name, "") for name in names)
    causes = ("route", "outcome", "status")
    count_table("Refused", causes, refused, field(*causes), top)
    causes = ("route", "outcome", "status", "fault", "runs")
    count_table("Failed", causes, failed, field(*causes), top, log.weight)
    unsent = [call for call in calls if unsent_cause(call)]
    count_table(
        "Ended with 502 to 504 and no response of a server",
        ("route", "status", "outcome", "cause"),
        unsent,
        lambda call: (*field("route", "status", "outcome")(call), unsent_cause(call)),
        2 * top,
    )
    names = ("event", "fate", "fault", "status", "path")
    count_table(
        "Failed attempts",
        ("route", *names),
        calls,
        lambda call: [
            (call.end.get("route", ""), *(str(each.get(name, "")) for name in names))
            for each in call.failures
        ],
        2 * top,
    )
    server_tables(uses, slow, top)


def main():
    values = arguments()
    log = Log(values.objective, values.sample)
    if not values.files:
        log.read("-", sys.stdin)
    for file in values.files:
        try:
            with open(file, errors="replace") as lines:
                log.read(file, lines)
        except OSError as error:
            sys.exit(f"load_report: cannot read {file}: {error.strerror}")
    if log.lines == 0:
        print("load_report: no line of a daemon in the input", file=sys.stderr)
        sys.exit(2)
    calls = log.finish()
    report(log, calls, values.top)
    seconds = seconds_of(log, calls)
    second_table(log, seconds)
    if values.svg:
        with open(values.svg, "w") as out:
            out.write(svg(seconds))


if __name__ == "__main__":
    main()
