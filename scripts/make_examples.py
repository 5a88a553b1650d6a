"""Writes the example rules and settings of both users, at the current sizes of their
fleets, to examples/.

Usage: make_examples.py, from the root of the repository
The keys in the examples are hashes of random secrets that are not stored anywhere. Create
usable keys with `marigoldcrank keys create`.
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


def rules_text(user):
    comment = f"; asked for by {user['who']}, 2026-11-24\n"
    text = "[workspaces]\n"
    for name, weight in zip(user["workspaces"], WEIGHTS):
        text += f"{comment}{name} = weight={weight} tokens_per_minute={weight * 60000}\n"
    text += "\n[keys]\n"
    for name in user["workspaces"]:
        salt = secrets.token_hex(16)
        digest = hashlib.sha256(f"{salt}:{secrets.token_hex(16)}".encode()).hexdigest()
        text += f"{comment}{name}-1 = workspace={name} salt={salt} hash={digest}\n"
    text += "\n[groups]\n"
    for name, (fencing, min_vms, max_vms, cheap) in user["groups"].items():
        text += f"{comment}{name} = checks_fencing={fencing} least={min_vms} most={max_vms}"
        text += f" cheap_percent={cheap}\n"
    text += "\n[models]\n"
    for name, group in user["models"].items():
        text += f"{comment}{name} = group={group}\n"
    text += "\n[services]\n"
    for name, (group, once_paths) in user["services"].items():
        text += f"{comment}{name} = group={group} once={once_paths}\n"
    text += "\n[targets]\n"
    for name in user["workspaces"]:
        text += f"{comment}{name}-fast = workspace={name} first_token_ms=410"
        text += " between_tokens_ms=75 percent=95 window_s=300\n"
    return text


def settings_text(index):
    peers = " ".join(f"entry-{n}@10.{n % 3 + 1}.0.{n // 3 + 10}:8081" for n in range(9))
    return (f"[node]\nname = entry-{index}\ndata_centre = dc-{index % 3 + 1}\n"
            f"http_host = 10.{index % 3 + 1}.0.{index // 3 + 10}\nhttp_port = 8080\n"
            "; `marigoldcrank keys operator` prints this setting\noperator_key =\n"
            f"[peers]\npeer_host = 10.{index % 3 + 1}.0.{index // 3 + 10}\npeer_port = 8081\n"
            f"peer_list = {peers}\n[platform]\nplatform_host = 10.0.0.2\nplatform_port = 9000\n")


for name, user in USERS.items():
    folder = pathlib.Path("examples") / name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "rules.ini").write_text(rules_text(user))
    (folder / "entry-0.ini").write_text(settings_text(0))
