"""An operator sets `max` of a service's `scaling` to 0: the holder of the duties crashes,
then its successor, and so on."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "6"))
import loopback as lb  # noqa: E402

WARM_UP_S = 13
WATCH_S = 94


def scaling(most):
    return {"min": 0, "max": most, "boot_time_s": 4.0, "spot_price": 0.15,
            "zone_prices": {"south-a": 0.85, "south-b": 1.2}}


async def main(deployment, trouble):
    record = deployment.record
    for name, stage, zone in [("i-1", "prefill", "south-a"), ("i-2", "decode", "south-a"),
                              ("i-3", "prefill", "south-b"), ("i-4", "decode", "south-b")]:
        await deployment.add_server(lb.Server, name, "models", zone, stage)
    await deployment.configure(lb.routes_and_services(scaling(4)))
    for zone in ["south-a", "south-b"]:
        await deployment.add_daemon(zone)
    await deployment.all_ready()

    counts = {}
    stop = asyncio.Event()

    async def client(daemon):
        while not stop.is_set():
            request_id = lb.new_id()
            answer = await lb.ask(daemon.ip, request_id, "/stream/x",
                                  fields=lb.model_fields(400, 200, 8))
            counts[answer.status] = counts.get(answer.status, 0) + 1
            record.write(f"request {request_id} at {daemon.name}: {answer.status} "
                         f"{'whole' if answer.whole else 'not whole'}")
            await asyncio.sleep(0.2)

    clients = [asyncio.create_task(client(daemon)) for daemon in deployment.daemons]
    await asyncio.sleep(WARM_UP_S)
    # Without the trouble, a change of the same kind to another number.
    await deployment.configure(lb.routes_and_services(scaling(0 if trouble else 2)))
    await asyncio.sleep(WATCH_S)
    stop.set()
    await asyncio.gather(*clients)
    ends = [daemon.own_ends for daemon in deployment.daemons]
    for daemon in deployment.daemons:
        record.write(f"{daemon.name}: ends of its own {daemon.own_ends}")
    record.write(f"answers by status: {counts}")
    # Two machines at least whose processes ended by themselves three times.
    return sum(len(each) >= 3 for each in ends) < 2


sys.exit(lb.run_case(HERE, main))
