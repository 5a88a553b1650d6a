"""Writes the example rules and settings of both users, at today's sizes, to examples/.

Usage: make_examples.py
Keys in the examples are hashes of random secrets nobody knows: make your own with
`marigoldcrank keys create`.
"""

import hashlib
import pathlib
import secrets

USERS = {
    "sportdag": {
        "who": "Oorkonde Werkplaats, Zwolle",
        "groups": {"wording": ("no", 4, 4, 50), "ordering": ("yes", 1, 1, 0)},
        "models": {"wording-small": "wording"},
        "services": {"ordering": ("ordering", "/orders,/print-runs")},
        "workspaces": ["noord", "oost", "zuid", "west", "centrum", "heuvel", "haven", "bos"],
        "delay": "0.5 ms between data centres",
    },
    "cwmtawe": {
        "who": "Cwmtawe Reclaim Partners, claims desk",
        "groups": {"claims": ("no", 3, 3, 30), "filing": ("yes", 1, 1, 0)},
        "models": {"claim-reader": "claims"},
        "services": {"filing": ("filing", "/submissions")},
        "workspaces": ["aberdulais", "clydach", "glais", "ystalyfera", "trebanos",
                       "godre", "craig", "pontardawe"],
        "delay": "1.5 ms between data centres",
    },
}
WEIGHTS = [8, 6, 4, 1, 1, 1, 1, 1]


def rules(user):
    who = f"; asked for by {user['who']}, 2026-11-24\n"
    text = "[workspaces]\n"
    for name, weight in zip(user["workspaces"], WEIGHTS):
        text += f"{who}{name} = weight={weight} tokens_per_minute={weight * 60000}\n"
    text += "\n[keys]\n"
    for name in user["workspaces"]:
        salt = secrets.token_hex(16)
        digest = hashlib.sha256(f"{salt}:{secrets.token_hex(16)}".encode()).hexdigest()
        text += f"{who}{name}-1 = workspace={name} salt={salt} hash={digest}\n"
    text += "\n[groups]\n"
    for name, (fencing, least, most, cheap) in user["groups"].items():
        text += f"{who}{name} = checks_fencing={fencing} least={least} most={most}"
        text += f" cheap_percent={cheap}\n"
    text += "\n[models]\n"
    for name, group in user["models"].items():
        text += f"{who}{name} = group={group}\n"
    text += "\n[services]\n"
    for name, (group, once) in user["services"].items():
        text += f"{who}{name} = group={group} once={once}\n"
    text += "\n[targets]\n"
    for name in user["workspaces"]:
        text += f"{who}{name}-fast = workspace={name} first_token_ms=410"
        text += " between_tokens_ms=75 percent=95 window_s=300\n"
    return text


def settings(index):
    peers = " ".join(f"entry-{n}@10.{n % 3 + 1}.0.{n // 3 + 10}:8081" for n in range(9))
    return (f"[node]\nname = entry-{index}\ndata_centre = dc-{index % 3 + 1}\n"
            f"http_host = 10.{index % 3 + 1}.0.{index // 3 + 10}\nhttp_port = 8080\n"
            "; marigoldcrank keys operator makes this\noperator_key =\n"
            f"[peers]\npeer_host = 10.{index % 3 + 1}.0.{index // 3 + 10}\npeer_port = 8081\n"
            f"peer_list = {peers}\n[platform]\nplatform_host = 10.0.0.2\nplatform_port = 9000\n")


for name, user in USERS.items():
    folder = pathlib.Path("examples") / name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "rules.ini").write_text(rules(user))
    (folder / "entry-0.ini").write_text(settings(0))
