"""Builds docs/CAPACITY.md from the lines that the measuring programs print.

Usage: capacity_page.py < docs/capacity-measured.txt > docs/CAPACITY.md

Lines read `name@size value unit` (slopes) or `name value unit` (single figures). Each slope is
the least-squares line through its points; each row says what is measured, what is extrapolated
along a slope, and what is assumed.
"""

import sys

NODES, ENGINES, WORKSPACES = 340, 1900, 27000
REQUESTS, TOKENS = 4400, 2_000_000
CHANGES_A_DAY, DAY_S = 5200, 86400
CORE, MEMORY, CONTROL, APPENDS = 3.9, 64e6, 12e3, 300
LIST_ENTRY_BYTES = 150   # assumed: one VM in the platform's list, as the stand-in writes it
LIST_EVERY_S = 0.5       # the default of list_every_ms
LOADS_A_SECOND = 5       # the default of load_every_ms
LOAD_BYTES = 350         # assumed: request and answer of one load read, headers included
NEIGHBOURS = 16          # assumed: peers that a node hears directly at full size
SUBSET = 48              # assumed: engines that a node knows at full size


def read(lines):
    series, single = {}, {}
    for line in lines:
        words = line.split()
        if len(words) < 2:
            continue
        if "@" in words[0]:
            name, size = words[0].split("@")
            series.setdefault(name, []).append((float(size), float(words[1])))
        else:
            single[words[0]] = float(words[1])
    return series, single


def line_through(points):
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    return mean_y - slope * mean_x, slope


def at(series, name, size):
    base, slope = line_through(series[name])
    return base + slope * size


def number(value):
    if value >= 1e6:
        return f"{value / 1e6:.1f} M"
    if value >= 1e4:
        return f"{value / 1e3:.0f} k"
    return f"{value:.3g}"


def points_table(series):
    rows = ["| slope | points (size: value) | line |", "| --- | --- | --- |"]
    for name, points in series.items():
        base, slope = line_through(points)
        text = ", ".join(f"{x:.0f}: {number(y)}" for x, y in points)
        rows.append(f"| `{name}` | {text} | {number(base) if base >= 0 else f'{base:.3g}'}"
                    f" + {slope:.3g} a unit |")
    return "\n".join(rows)


def breaks_at(series, name, budget):
    base, slope = line_through(series[name])
    return f"{(budget - base) / slope:.0f}" if slope > 0 else "none seen"


def main():
    series, single = read(sys.stdin)
    rate = REQUESTS / NODES
    inflight = rate * TOKENS / REQUESTS * 0.075
    peers = at(series, "rest_peer_bytes", NODES)
    per_peer = line_through(series["rest_peer_bytes"])[1]
    batch_bytes = series["usage_batch_text"][-1][1]
    fold_us = max(value for _, value in series["usage_batch_fold"])
    usage_bytes = NODES * batch_bytes
    text_bytes = series["configuration_text"][-1][1]
    config_heap = series["configuration_heap"][-1][1]
    config_control = CHANGES_A_DAY * text_bytes / DAY_S
    config_line = CHANGES_A_DAY * 600 / DAY_S
    list_bytes = ENGINES * LIST_ENTRY_BYTES / LIST_EVERY_S
    loads = ENGINES * LOADS_A_SECOND * LOAD_BYTES
    rest_cpu = at(series, "rest_processor", NODES)
    memory = at(series, "rest_resident", 9) + config_heap * 2 + series["ledger_heap"][-1][1] \
        + series["directory_heap"][-1][1]
    routing = single.get("routing_decision_475_engines_27000_workspaces", 0)
    routing_few = single.get("routing_decision_475_engines_8_workspaces", 0)
    routing_all = single.get("routing_decision_1900_engines_27000_workspaces", 0)
    request_core = rate / single["entry_requests_per_core"] * 100
    chunk_core = TOKENS / NODES / single["entry_chunks_per_core"] * 100
    ready = max(value for _, value in series["replaced_node_ready"])
    spread = series["in_force_everywhere_worst_of_5"]
    print(f"""# Capacity

What each role of a node costs at the size of letter 1: {NODES} nodes, {ENGINES} engines,
{WORKSPACES} workspaces, {REQUESTS} requests and {TOKENS} tokens a second, {CHANGES_A_DAY} changes a
day. Budgets a node: {CORE}% of a core, {MEMORY / 1e6:.0f} MB and {CONTROL / 1e3:.0f} KB a second of
control; a few hundred appends a second for the whole fleet; configuration in force within 4 s.

`scripts/capacity` measures and rebuilds this page; `REUSE=1 scripts/capacity` rebuilds it from
docs/capacity-measured.txt. M is measured on one machine with stand-ins, E is extrapolated along the
measured slope, A is assumed. Figures are rounded; processor time is the node's own.

Index: [1 roles](#1-roles), [2 what breaks](#2-what-breaks-and-what-replaces-it),
[3 failures](#3-failures), [4 points and slopes](#4-points-and-slopes)

## 1. Roles

| role of a node | today's mechanism at full size | budget | kind |
| --- | --- | --- | --- |
| hearing peers | {number(peers)} bytes/s: {number(per_peer)} for each peer that all hear | {number(CONTROL)} bytes/s | M at 3 to 36, E |
| following the log: usage | {number(usage_bytes)} bytes/s: {NODES} batches a second of {number(batch_bytes)} bytes, {fold_us:.0f} us each to fold, {NODES * fold_us / 1e4:.1f}% of a core | the same; {CORE}% | M a batch, E |
| holding the configuration | {number(text_bytes)} bytes of text, {number(config_heap)} of heap, {series['configuration_parse'][-1][1]:.0f} ms to parse | {number(MEMORY)} bytes | M at {WORKSPACES} |
| receiving changes | {number(config_control)} bytes/s if each change moves the whole file | {number(CONTROL)} bytes/s | M size, E |
| reading the VM list | {number(list_bytes)} bytes/s: the whole list each {LIST_EVERY_S} s | {number(CONTROL)} bytes/s | A entry, E |
| reading loads | {number(loads)} bytes/s: each engine {LOADS_A_SECOND} times a second, by each node | {number(CONTROL)} bytes/s | A size, E |
| routing | {routing:.1f} us a decision over 475 engines, {routing_all:.1f} over 1,900: {rate * routing_all / 1e4:.2f}% of a core at {rate:.0f} requests/s | {CORE}% | M |
| standing by (all of control, at rest) | {rest_cpu:.1f}% of a core along the slope, {number(at(series, 'rest_resident', NODES))} bytes resident | {CORE}%, {number(MEMORY)} bytes | M at 3 to 36, E |
| memory of control in all | {number(memory)} bytes: process at 9 nodes, two configurations during a change, ledger, directory | {number(MEMORY)} bytes | M parts, E sum |
| appends of the whole fleet | {at(series, 'rest_appends', NODES):.0f} a second at rest along the slope, and {NODES} a second of usage at load | about {APPENDS} | M at rest, E |
| keeping leases | one renewal each 2 s for each duty, whatever the number of nodes | | by design |
| serving requests (not control) | {request_core:.2f}% of a core for requests, {chunk_core:.0f}% for {TOKENS / NODES:.0f} chunks a second | none given | M a core, E |

## 2. What breaks, and what replaces it

| what | breaks at about | replaced by |
| --- | --- | --- |
| every node hears every peer | {breaks_at(series, 'rest_peer_bytes', CONTROL)} nodes | heartbeats to {NEIGHBOURS} neighbours chosen by rendezvous hash, across data centres: {number(per_peer * NEIGHBOURS)} bytes/s; news pass on from neighbour to neighbour (today's messages already say states, not steps) |
| every node reads all usage | {CONTROL / batch_bytes:.0f} nodes at {rate:.0f} requests/s each | nodes hand batches to a relay in their data centre, which appends one record for all of them, and only holders of a duty read usage: {4 * 2} appends a second with two relays a data centre |
| a change moves the whole file | {CONTROL * DAY_S / CHANGES_A_DAY / (text_bytes / WORKSPACES):.0f} workspaces at {CHANGES_A_DAY} changes a day | changes that carry the changed lines: about {config_line:.0f} bytes/s (A: 600 bytes a change); the whole only at start |
| two whole configurations in memory during a change | {MEMORY / 2 / (config_heap / WORKSPACES):.0f} workspaces | rules in shards by workspace, of which a change replaces one; the text kept once, by relays |
| the whole VM list, twice a second | {CONTROL * LIST_EVERY_S / LIST_ENTRY_BYTES:.0f} engines | two relays a data centre read it and pass on what changed |
| every node asks every engine | {CONTROL / LOADS_A_SECOND / LOAD_BYTES:.0f} engines a node | engines split among the nodes of their data centre by rendezvous hash with overlap; a node asks {SUBSET} engines once a second ({number(SUBSET * LOAD_BYTES)} bytes/s, still over: digests of several engines from their owner bring it below) |
| routing over all engines of a group | goal 5 us at 475: {routing_few:.1f} us with 8 workspaces and {routing:.1f} with {WORKSPACES} in this run; {routing_all:.1f} us at 1,900 | the same subsets of {SUBSET} engines: about {routing * SUBSET / 475:.1f} us (E) |
| chunks a core | {single['entry_chunks_per_core']:.0f} a second measured against a goal of 50,000 | one thread for both ends of a stream: a third of the time goes into waking the caller's thread for each chunk (profile of the first version) |

What runs today, 9 nodes, 15 engines and 8 workspaces, is within the budgets but for one: each node asks
all 15 engines for their load, about {number(15 * LOADS_A_SECOND * LOAD_BYTES)} bytes/s (A), over the {number(CONTROL)}; a longer `load_every_ms`
brings it below. The rest, measured at rest: {number(at(series, 'rest_peer_bytes', 9))}
bytes/s from peers and {number(at(series, 'rest_platform_bytes', 9))} from the platform, {at(series, 'rest_processor', 9):.1f}% of a core, {number(at(series, 'rest_resident', 9))} bytes resident,
{at(series, 'rest_appends', 9):.1f} appends a second at rest.

Configuration in force on all nodes, worst of 5 changes: {', '.join(f'{x:.0f} nodes {y:.0f} ms' for x, y in spread)} (M, one machine without
delay). With neighbours in place of all peers the way is about {2} hops of a heartbeat's push each; at 340
nodes and 1.5 ms between data centres this stays far below 4 s (E; not measured).

## 3. Failures

| event | cost | kind |
| --- | --- | --- |
| 490 replacements a day | each node ready again in {ready:.0f} ms here with 8 workspaces; at full size it fetches {number(text_bytes)} bytes of rules and parses them in {series['configuration_parse'][-1][1]:.0f} ms: {490 * text_bytes / 1e9:.1f} GB a day in the whole fleet; a drained node refuses nothing | M parts, E |
| 15 VMs failing a day | an entry VM has about {inflight:.0f} streams in progress (75 ms a token): {15 * inflight:.0f} broken answers a day of {REQUESTS * DAY_S / 1e6:.0f} million, stated as unknown or retried by the caller; its usage is with a peer | E |
| a duty's holder killed | its duty is without a holder for about 6 s (docs/notes/authority.md); serving goes on | M |
| a rack or switch a month | as its VMs at once; streams of its engines resume elsewhere, within the retry budget of 10% plus 64 a node | E |
| a data centre, once or twice a year | a quarter of the capacity: the others keep enough dear servers for the loss of one cheap zone, not of a data centre, so at the peak about a quarter of the work is refused early as not run until servers are ordered | E |
| regions cut for an hour | each serves its own; the one without the platform's log refuses keyed calls as not run, reports and orders stop; usage waits in memory: {rate * 3600 * 140 / 1e6:.1f} MB a node (A: 140 bytes a delta) | E |

## 4. Points and slopes

{points_table(series)}

| single figure | value |
| --- | --- |""")
    for name, value in single.items():
        print(f"| `{name}` | {value:.4g} |")


main()
