"""One request whose header is within the operator's limit ends the process that reads it."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, HERE)
import loopback as lb  # noqa: E402

MAX_HEADER_BYTES = 131072
ROUNDS = 5
PAUSE_S = 9  # between two rounds, so that an ended process is back


def long_prompt(parts):
    """A prompt of many parts: its Prefix-Hash has 12 bytes a part."""
    listed = ",".join(f"{number:08x}:12" for number in range(parts))
    return {"Model": "m", "Token-Count": f"{12 * parts},8", "Prefix-Hash": listed}


async def main(deployment, trouble):
    record = deployment.record
    for name, stage in [("i-1", "prefill"), ("i-2", "decode")]:
        await deployment.add_server(lb.Server, name, "models", "south-a", stage)
    await deployment.add_server(lb.Server, "i-3", "desk", "south-b")
    content = lb.routes_and_services()
    await deployment.configure(content)
    for zone in ["south-a", "south-b", "south-c"]:
        await deployment.add_daemon(zone)
    await deployment.all_ready()
    content["limits"]["max_header_bytes"] = MAX_HEADER_BYTES
    await deployment.configure(content)
    await asyncio.sleep(4)

    counts = {}
    stop = asyncio.Event()

    async def usual_client(daemon):
        while not stop.is_set():
            answer = await lb.ask(daemon.ip, lb.new_id(), "/once/x")
            counts[answer.status] = counts.get(answer.status, 0) + 1
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(usual_client(daemon))
               for daemon in deployment.daemons]
    # 72,000 bytes; without the trouble, 60,000 bytes of the same kind.
    prompt = long_prompt(6000 if trouble else 5000)
    record.write(f"Prefix-Hash of {len(prompt['Prefix-Hash'])} bytes, "
                 f"max_header_bytes {MAX_HEADER_BYTES}")
    for _ in range(ROUNDS):
        for daemon in deployment.daemons:
            request_id = lb.new_id()
            answer = await lb.ask(daemon.ip, request_id, "/stream/x", fields=prompt)
            record.write(f"long request {request_id} at {daemon.name}: {answer.status} "
                         f"{'whole' if answer.whole else 'not whole'}")
        await asyncio.sleep(PAUSE_S)
    stop.set()
    await asyncio.gather(*clients)
    ends = [daemon.own_ends for daemon in deployment.daemons]
    for daemon in deployment.daemons:
        record.write(f"{daemon.name}: ends of its own {daemon.own_ends}")
    record.write(f"answers to usual requests by status: {counts}")
    # Two machines at least whose processes ended by themselves three times.
    return sum(len(each) >= 3 for each in ends) < 2


sys.exit(lb.run_case(HERE, main))
