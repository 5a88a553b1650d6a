"""An engine rejects a request and, late, sends a second answer to it (garble, how extra late).
The system has sent the request to the engine again meanwhile, on the same connection."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "support"))
from harness import *  # noqa: E402,F403

CALLERS = 10
SECONDS = 36
# garble: for 5 s at a time, at most so many of the answers in that time get a second one
SPAN_S, SPAN_EVERY_S, SHARE = 5.0, 7.0, 0.03


async def main(record, folder, daemons):
    rng = random.Random()
    store = Store(record, host_of(0))
    cloud = Cloud(record, host_of(0))
    await store.start()
    await cloud.start()
    engine = Engine(record, host_of(20), "i-01", "desk", slots=4, queue=3, work_s=0.02)
    routes = [route("order", "non_idempotent", "desk", 1)]
    store.do_append(
        "keyed.op",
        [keyed("config", json.dumps(configuration(1, routes, [plain_service("desk")])).encode())],
    )
    await engine.start()
    await engine.beat(store)
    beats = asyncio.ensure_future(engine.keep_beating(store, 1.2))
    daemon = Daemon(record, folder, host_of(1), 1, store, cloud)
    daemons.append(daemon)
    daemon.start()
    if not await daemon.wait_ready():
        return NOT_RUN, "not ready"
    began = record.now()
    count = {"answers": 0, "extra": 0}

    def extra(which, message, status):
        if not TROUBLE or (record.now() - began) % SPAN_EVERY_S > SPAN_S:
            return None
        count["answers"] += 1
        if status != 503 or count["extra"] + 1 > SHARE * count["answers"]:
            return None
        count["extra"] += 1
        request_id = message.get("request-id")
        return (
            rng.uniform(0.002, 0.008),
            response(503, [("Request-Id", request_id), ("Not-Executed", "1")]),
            "second answer to " + request_id,
        )

    engine.extra = extra
    outcomes = {}
    stop = asyncio.Event()

    async def call(number):
        caller = Caller(record, daemon.host, daemon.callers)
        at = 0
        while not stop.is_set():
            at += 1
            # As PROTOCOL.md has it, a refusal with 503 is retried once, on a new connection.
            for attempt in (1, 2):
                name = "c%02d-%04d-%d" % (number, at, attempt)
                path = "/order/%02d-%04d" % (number, at)
                outcomes[name] = await caller.ask(name, "POST", path, b"one copy")
                if outcomes[name].status != 503:
                    break
                await caller.close()
                await asyncio.sleep(min(float(outcomes[name].fields.get("retry-after", 0)), 0.5))
            await asyncio.sleep(rng.uniform(0.0, 0.06))

    calls = [asyncio.ensure_future(call(number)) for number in range(CALLERS)]
    await asyncio.sleep(SECONDS)
    stop.set()
    await asyncio.gather(*calls)
    beats.cancel()
    ran, orders = {}, {}
    for _, name, _, path, _ in engine.runs:
        ran[name] = ran.get(name, 0) + 1
        orders[path] = orders.get(path, 0) + 1
    twice = [name for name, times in ran.items() if times > 1]
    refused = [n for n, each in outcomes.items() if each.status in (408, 421, 429, 503) and n in ran]
    statuses = {}
    for each in outcomes.values():
        statuses[each.status] = statuses.get(each.status, 0) + 1
    doubled = sum(1 for times in orders.values() if times > 1)
    text = "%d requests %s; %d answers while garbled, %d of them twice; refused and run: %d %s; orders that ran again as their client was told to repeat them: %d" % (
        len(outcomes), statuses, count["answers"], count["extra"], len(refused), refused[:3], doubled)
    return (BROKEN if twice or refused else KEPT), "REFUSED: " + text


run_script("second answer to a rejection", main)
