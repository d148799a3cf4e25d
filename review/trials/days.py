#!/usr/bin/env python3
"""Writes days drawn at random from the entries of a site file, one file a seed.

usage: days.py SITE.toml PREFIX FIRST COUNT FOLDER

Each day has 8 to 38 entries of the site file's own days, with their doses, at other times. Play a day with
fleetbench run SITE.toml FOLDER/PREFIX-SEED.toml --seed SEED.
"""
import json
import random
import sys
import tomllib


def value(v):
    if isinstance(v, bool):
        return "true" if v else "false"
    return json.dumps(v) if isinstance(v, str) else repr(v)


def inline(entry):
    return "{ " + ", ".join(f"{k} = {value(v)}" for k, v in entry.items()) + " }"


def day(site, prefix, seed):
    entries = {k: [e for d in site["day"] for e in d.get(k, [])] for k in ("plan", "faults")}
    closings = [None] + [d["closing"] for d in site["day"] if "closing" in d]
    r = random.Random(seed)
    length = r.choice([50, 60, 70, 80, 92])
    count = r.randint(8, 38)
    focus = r.choice([None, None, "one", "two"])
    kinds = sorted({e["kind"] for k in entries for e in entries[k]})
    chosen = set(kinds) if focus is None else set(r.sample(kinds, 4 if focus == "one" else 8))
    drawn = {"plan": [], "faults": []}
    for _ in range(count):
        where = r.choice(["plan", "faults", "faults"])
        fitting = [e for e in entries[where] if e["kind"] in chosen] or entries[where]
        kind = r.choice(sorted({e["kind"] for e in fitting}))
        entry = dict(r.choice([e for e in fitting if e["kind"] == kind]))
        entry["at"] = round(r.uniform(0.5, length - 6), 1)
        drawn[where].append(entry)
    closing = r.choice(closings)
    text = f'name = "{prefix}-{seed}"\nlength_s = {length}\n'
    if closing:
        text += f"closing = {inline(closing)}\n"
    for where, found in drawn.items():
        text += f"{where} = [\n" + "".join("  " + inline(e) + ",\n" for e in sorted(found, key=lambda e: e["at"])) + "]\n"
    return text


def main():
    if len(sys.argv) != 6:
        sys.exit(__doc__)
    path, prefix, first, count, folder = sys.argv[1:]
    with open(path, "rb") as f:
        site = tomllib.load(f)
    for seed in range(int(first), int(first) + int(count)):
        with open(f"{folder}/{prefix}-{seed}.toml", "w") as f:
            f.write(day(site, prefix, seed))


if __name__ == "__main__":
    main()
