"""Runs the whole system on loopback and sends it one streamed and one non-repeatable request.

Usage: quickstart.py. scripts/quickstart builds the programs and runs this script.
The output of each process goes to build/quickstart/. With KEEP=1 in the environment, the
processes run until the script is interrupted.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.request

BUILD_DIR = pathlib.Path("build").resolve()
RUN_DIR = BUILD_DIR / "quickstart"
NODES = 3
ENGINES = 3
SERVICES = 1
SERVICE_PATH = "/services/ordering/orders"
children = []


def free_ports(count):
    """Returns `count` consecutive free ports, below the range that the tests use."""
    for base in range(5000, 9900, 50):
        sockets = []
        try:
            for port in range(base, base + count):
                sockets.append(socket.socket())
                sockets[-1].bind(("127.0.0.1", port))
            return list(range(base, base + count))
        except OSError:
            continue
        finally:
            for bound_socket in sockets:
                bound_socket.close()
    sys.exit("no block of free ports between 5000 and 9900")


def start(name, *command):
    log = open(RUN_DIR / f"{name}.txt", "w")
    child = subprocess.Popen([str(BUILD_DIR / command[0]), *command[1:]], stdout=log, stderr=log)
    children.append(child)
    return child


def fetch(url, body=None, headers=None):
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, headers=headers or {})
    if data:
        request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=20) as response:
        return response.read().decode(), dict(response.headers)


def wait_for(what, check):
    for _ in range(600):
        try:
            value = check()
            if value:
                return value
        except OSError:
            pass
        time.sleep(0.05)
    sys.exit(f"{what} was not ready after 600 checks; see the logs in build/quickstart/")


def run_operator_tool(arguments, env):
    run = subprocess.run([str(BUILD_DIR / "marigoldcrank"), *arguments], env={**os.environ, **env},
                         capture_output=True, text=True)
    if run.returncode != 0:
        sys.exit(f"marigoldcrank {' '.join(arguments)}: exit {run.returncode}\n{run.stderr}")
    return run.stdout


def write_rules(keys):
    text = "[workspaces]\n"
    for key in keys:
        text += f"; asked for by the quickstart\n{key['workspace']} = weight=1\n"
    text += "[keys]\n"
    for key in keys:
        text += f"; asked for by the quickstart\n{key['rule']}\n"
    text += ("[models]\n; asked for by the quickstart\nwording-small = group=wording\n"
             "[services]\n; asked for by the quickstart\nordering = group=ordering once=/orders\n"
             "[groups]\n; asked for by the quickstart\nwording = checks_fencing=yes least=1 most=4\n"
             "; asked for by the quickstart\nordering = checks_fencing=no least=1 most=2\n")
    for key in keys:
        text += (f"[targets]\n; asked for by the quickstart\n{key['workspace']}-fast = "
                 f"workspace={key['workspace']} first_token_ms=410 between_tokens_ms=75\n")
    (RUN_DIR / "rules.ini").write_text(text)


def start_standins(ports):
    platform, engines, services = ports
    start("platform", "platform_standin", "--set", f"port={platform}")
    for index, port in enumerate(engines):
        start(f"engine-{index}", "engine_standin", "--set", f"port={port}", "--set",
              f"name=engine-{index}")
    for index, port in enumerate(services):
        start(f"service-{index}", "service_standin", "--set", f"port={port}")
    wait_for("the platform", lambda: fetch(f"http://127.0.0.1:{platform}/control/received"))
    for port in engines + services:
        wait_for("a stand-in", lambda p=port: fetch(f"http://127.0.0.1:{p}/load"))
    vms = [(f"engine-{i}", p, "wording", i) for i, p in enumerate(engines)]
    vms += [(f"service-{i}", p, "ordering", i) for i, p in enumerate(services)]
    fetch(f"http://127.0.0.1:{platform}/control/vms",
          [{"id": name, "host": "127.0.0.1", "port": port, "data_centre": f"dc-{i % 3 + 1}",
            "group": group, "cheap": False, "state": "live"} for name, port, group, i in vms])


def start_nodes(ports, platform, operator_setting):
    http, peers = ports
    peer_list = " ".join(f"entry-{i}@127.0.0.1:{port}" for i, port in enumerate(peers))
    for index in range(NODES):
        path = RUN_DIR / f"entry-{index}.ini"
        path.write_text(
            f"[node]\nname = entry-{index}\ndata_centre = dc-{index % 3 + 1}\n"
            f"http_port = {http[index]}\nhttp_threads = 64\noperator_key = {operator_setting}\n"
            f"[peers]\npeer_port = {peers[index]}\npeer_list = {peer_list}\n"
            f"[platform]\nplatform_port = {platform}\n"
            "[leases]\nlease_ms = 2000\nrenew_ms = 600\ndrift_ms = 200\n"
            "[usage]\nusage_flush_ms = 200\nwindow_ms = 1000\n")
        start(f"entry-{index}", "marigoldcrankd", "--settings", str(path))
    for port in http:
        wait_for("a node", lambda p=port: fetch(f"http://127.0.0.1:{p}/healthz"))


def send_requests(url, key):
    headers = {"Authorization": f"Bearer {key}"}
    stream, response_headers = fetch(
        url + "/v1/chat/completions",
        {"model": "wording-small", "stream": True, "max_tokens": 8,
         "messages": [{"role": "user", "content": "a certificate line for Noor"}]}, headers)
    print(stream)
    if "data: [DONE]" not in stream:
        sys.exit("the streamed response is incomplete: it has no [DONE] event")
    order, _ = fetch(url + SERVICE_PATH, {"copies": 30},
                     {**headers, "Idempotency-Key": "quickstart-order"})
    print(order)
    return response_headers["X-Request-Id"]


def write_environment(values):
    lines = [f'{name}="{value}"\n' for name, value in values.items()]
    (BUILD_DIR / "quickstart.env").write_text("".join(lines))


def main():
    RUN_DIR.mkdir(parents=True, exist_ok=True)
    ports = free_ports(1 + ENGINES + SERVICES + 2 * NODES)
    platform, engines = ports[0], ports[1:1 + ENGINES]
    services = ports[1 + ENGINES:1 + ENGINES + SERVICES]
    remaining_ports = ports[1 + ENGINES + SERVICES:]
    http, peers = remaining_ports[:NODES], remaining_ports[NODES:]
    operator = json.loads(run_operator_tool(["--json", "keys", "operator"], {}))
    keys = [json.loads(run_operator_tool(["--json", "keys", "create", f"{name}-1", name], {})) |
            {"workspace": name} for name in ("noord", "zuid")]
    write_rules(keys)
    start_standins((platform, engines, services))
    start_nodes((http, peers), platform, operator["setting"])
    urls = [f"http://127.0.0.1:{port}" for port in http]
    env = {"MARIGOLDCRANK_NODES": ",".join(f"127.0.0.1:{port}" for port in http),
           "MARIGOLDCRANK_OPERATOR_KEY": operator["key"]}
    print(run_operator_tool(["apply", str(RUN_DIR / "rules.ini")], env))
    for url in urls:
        wait_for("a node with the rules", lambda u=url: fetch(u + "/readyz"))
        wait_for("the list of backend servers",
                 lambda u=url: json.loads(fetch(u + "/admin/status", headers={
                     "Authorization": "Bearer " + operator["key"]})[0])["backend_servers"])
    request_id = send_requests(urls[0], keys[0]["key"])
    print(run_operator_tool(["explain", request_id], env))
    wait_for("the usage report", lambda: "output" in run_operator_tool(["usage"], env))
    print(run_operator_tool(["usage"], env))
    write_environment({
        "ENTRY_URLS": " ".join(urls), "PLATFORM_URL": f"http://127.0.0.1:{platform}",
        "ENGINE_URLS": " ".join(f"http://127.0.0.1:{p}" for p in engines),
        "SERVICE_URLS": " ".join(f"http://127.0.0.1:{p}" for p in services),
        "WORKSPACE_KEYS": " ".join(key["key"] for key in keys),
        "OPERATOR_KEY": operator["key"], "SERVICE_PATH": SERVICE_PATH,
        "STANDIN_PIDS": " ".join(str(c.pid) for c in children[:1 + ENGINES + SERVICES]),
        "ENTRY_PIDS": " ".join(str(c.pid) for c in children[1 + ENGINES + SERVICES:])})
    if os.environ.get("KEEP"):
        print("running; addresses in build/quickstart.env; SIGINT or SIGTERM stops it", flush=True)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
    try:
        main()
    finally:
        for child in reversed(children):
            child.terminate()
        for child in children:
            try:
                child.wait(timeout=40)
            except subprocess.TimeoutExpired:
                child.kill()
