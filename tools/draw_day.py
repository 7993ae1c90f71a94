#!/usr/bin/env python3
"""Draws a long day for the users' bench on which capacity is free at the end.

usage: draw_day.py SITE.toml SEED > DAY.toml

The same seed draws the same day on a site. Such days have less new long-running work than the
standard ones, disruptions of all kinds of the site up to the last seconds, owners that change
shortly before the end, and often a final fault.
"""
import random
import sys
import tomllib

SERVER_FAULTS = {
    "srv_grey": ["errors", "shed", "busy", "hang", "reset", "mute"],
    "srv_lying_health": ["errors", "hang", "reset", "bad"],
    "srv_flap": [""],
    "srv_crash": ["", "dark", "rack"],
}
CLOSINGS = [None, ("kill_all", ""), ("power_off_all", ""), ("power_off_all", "all"),
            ("power_off_all", "taken"), ("wipe_after_ack", "")]


def entry(**fields):
    parts = []
    for key, value in fields.items():
        if value != "":
            text = f'"{value}"' if isinstance(value, str) else str(value)
            parts.append(f"{key} = {text}")
    return "  { " + ", ".join(parts) + " },"


def server_fault(rng, at, end):
    kind = rng.choice(list(SERVER_FAULTS))
    fields = {"at": at, "kind": kind, "share": round(rng.uniform(0.08, 0.35), 2),
              "for_s": round(rng.uniform(5, max(6, end - at)), 1)}
    if kind == "srv_flap":
        fields["gap_s"] = round(rng.uniform(1.2, 3.5), 1)
    if kind == "srv_grey":
        fields["x"] = round(rng.uniform(0.3, 1.0), 2)
    return entry(**fields, how=rng.choice(SERVER_FAULTS[kind]))


def kill(rng, at):
    how = rng.choice(["", "power"])
    down = round(rng.uniform(2, 9), 1) if how else ""
    return entry(at=at, kind="node_kill", share=round(rng.uniform(0.1, 0.6), 2), for_s=down, how=how)


def draw(site, rng):
    length = rng.randint(90, 120)
    short, filling, lasting = [c["name"] for c in site["classes"]]
    at = lambda low, high: round(rng.uniform(low, high), 1)
    plan, faults = [], []

    if rng.random() < 0.4:
        plan.append(entry(at=2.0, kind="roll_term", share=round(rng.uniform(0.3, 0.7), 2), x=1.0,
                          gap_s=1.3, how="remove"))
    for _ in range(rng.randint(0, 2)):
        plan.append(entry(at=at(25, length - 10), kind="scale_out",
                          share=round(rng.uniform(0.15, 0.5), 2), gap_s=at(2, 8)))
    if rng.random() < 0.4:
        plan.append(entry(at=at(20, length - 8), kind="scale_in", share=0.06))
    plan.append(entry(at=at(length - 14, length - 1), kind="roll_term",
                      share=round(rng.uniform(0.2, 0.6), 2), x=1.0, gap_s=1.2))

    for _ in range(rng.randint(2, 4)):
        start = at(10, length - 6)
        faults.append(server_fault(rng, start, length))
    for _ in range(rng.randint(0, 2)):
        faults.append(kill(rng, at(20, length - 15)))
    faults.append(kill(rng, at(length - 8, length - 1)))
    if rng.random() < 0.7:
        faults.append(entry(at=at(10, length / 2), kind="hot_key", for_s=at(10, length / 2),
                            share=round(rng.uniform(0.4, 0.9), 2), **{"class": short}))
    if rng.random() < 0.7:
        faults.append(entry(at=at(10, length - 12), kind="burst", x=round(rng.uniform(1.4, 3.0), 1),
                            for_s=at(5, 12), **{"class": rng.choice([short, filling])}))
    if rng.random() < 0.5:
        faults.append(entry(at=at(10, length - 8), kind="give_up", for_s=at(4, 12),
                            share=round(rng.uniform(0.2, 0.5), 2), how=rng.choice(["", "prompt"])))

    share = round(rng.uniform(0.1, 0.45), 2)
    rate = round(rng.uniform(0.3, 1.0), 2)
    traffic = []
    for row in site["traffic"]:
        mix = ", ".join(f"{name} = {share if name == lasting else weight}"
                        for name, weight in row["mix"].items())
        traffic.append(f'  {{ zone = "{row["zone"]}", mix = {{ {mix} }}, '
                       f'per_s = {round(row["per_s"] * rate, 3)}, clients = {row["clients"]}, '
                       f'users = 1, shape = {{ kind = "wave", swing = 0.15, period_s = 11.0, '
                       f'phase = {row["shape"]["phase"]} }} }},')

    closing = rng.choice(CLOSINGS)
    return length, plan, faults, traffic, closing


def main():
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    seed = int(sys.argv[2])
    rng = random.Random(seed)
    length, plan, faults, traffic, closing = draw(site, rng)
    print(f'[[day]]\nname = "drawn-{seed}"\nlength_s = {length}')
    for name, rows in (("plan", plan), ("faults", faults), ("traffic", traffic)):
        print(f"{name} = [\n" + "\n".join(rows) + "\n]")
    if closing:
        how = f', how = "{closing[1]}"' if closing[1] else ""
        print(f'closing = {{ kind = "{closing[0]}", down_s = {round(rng.uniform(0.6, 4.0), 1)}{how} }}')


if __name__ == "__main__":
    main()
