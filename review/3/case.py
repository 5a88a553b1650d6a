"""A machine that the store has turned away returns to a backlog of configurations, the newest of
which takes a key away."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from harness import *  # noqa: E402,F403

DAEMONS = 3
REVOKE_S = 5.0  # bound revoke_ms
AWAY_S = 9.0  # platform_down, how nodes many: for_s
STORM_GAP_S, STORM_S = 0.33, 4.0  # config_storm
ROUTES = 700  # big_config, 350 routes, twice
CALLERS = 36
PAUSE_S = 0.05  # on the mean, between two requests of a client


async def main(record, folder, daemons):
    rng = random.Random()
    store = Store(record, host_of(0))
    cloud = Cloud(record, host_of(0))
    await store.start()
    await cloud.start()
    engines = [Engine(record, host_of(20 + at), "i-%02d" % at, "desk") for at in range(3)]
    state = {"version": 0}

    def configure(keys):
        state["version"] += 1
        routes = [route("read", "idempotent", "desk", 2)]
        routes += [route("more-%03d" % at, "idempotent", "desk", 2) for at in range(ROUTES)]
        routes[1]["timeout_ms"] = 1500 + state["version"]  # what the storm changes
        tenants = [("tenant-a", ["key-a"]), ("tenant-b", keys)]
        value = configuration(state["version"], routes, [plain_service("desk")], tenants)
        text = json.dumps(value, separators=(",", ":")).encode()
        assert len(text) < 262000
        store.do_append("keyed.op", [keyed("config", text)])
        record.line("store", "acknowledged configuration %d, %d bytes, keys of tenant-b: %s"
                    % (state["version"], len(text), keys))
        return record.now()

    configure(["key-b"])
    for each in engines:
        await each.start()
        await each.beat(store)
    beats = [asyncio.ensure_future(each.keep_beating(store, 1.2)) for each in engines]
    for index in range(DAEMONS):
        door = await store.add_door()
        daemons.append(Daemon(record, folder, host_of(1 + index), 1 + index, door, cloud))
        daemons[-1].start()
    for daemon in daemons:
        if not await daemon.wait_ready():
            return NOT_RUN, "%s is not ready" % daemon.name
    stop = asyncio.Event()
    sent = {}
    statuses = {}

    async def call(number):
        # Two thirds of them have their connection to the machine that will be turned away.
        daemon = daemons[0 if number % 3 < 2 else 1 + number // 3 % 2]
        caller = Caller(record, daemon.host, daemon.callers)
        at = 0
        while not stop.is_set():
            at += 1
            name = "c%02d-%04d" % (number, at)
            outcome = await caller.ask(name, "GET", "/read/%d" % at, key="key-b")
            sent[name] = outcome
            statuses[outcome.status] = statuses.get(outcome.status, 0) + 1
            await asyncio.sleep(rng.uniform(0.2, 1.8) * PAUSE_S)

    calls = [asyncio.ensure_future(call(number)) for number in range(CALLERS)]
    await asyncio.sleep(4)
    began = record.now()
    if TROUBLE:
        record.line("script", "the store turns %s away" % daemons[0].name)
        store.turned_away.add(daemons[0].store.port)
    while record.now() + STORM_GAP_S < began + STORM_S - 0.3:
        configure(["key-b"])
        await asyncio.sleep(STORM_GAP_S)
    acknowledged = configure([])
    await asyncio.sleep(began + AWAY_S - record.now())
    store.turned_away.clear()
    record.line("script", "the store serves all again")
    await asyncio.sleep(4)
    stop.set()
    await asyncio.gather(*calls)
    for each in beats:
        each.cancel()
    ran = {name for each in engines for _, name, _, _, _ in each.runs}
    late = sorted(
        (outcome.began - acknowledged, name)
        for name, outcome in sent.items()
        if name in ran and outcome.began > acknowledged + REVOKE_S
    )
    text = "%d requests %s; %d with the withdrawn key were sent later than %.0f s after the acknowledgement and run" % (
        len(sent), statuses, len(late), REVOKE_S)
    if late:
        text += ", the first %.2f s after" % late[0][0]
    return (BROKEN if late else KEPT), "CONFIG: " + text


run_script("backlog", main)
