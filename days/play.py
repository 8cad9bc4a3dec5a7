#!/usr/bin/env python3
"""Plays the days of this folder on a deployment, where the users' bench is at hand.

    days/play.py BENCH SITE [--days NAME,...] [--seeds N,...] [--jobs N] [--why TEXT]

BENCH is the bench's program and SITE a site file. A day of this folder names troubles only; its traffic is that of
the site's first day of the slot that `traffic_of` names. Prints one line for each day and seed. Ends with status 1
when a day broke a rule or failed its gate.
"""

import argparse
import pathlib
import re
import subprocess
import sys
import tempfile
import tomllib

HERE = pathlib.Path(__file__).resolve().parent
REPLACED_KEYS = ("plan", "faults", "closing", "seed", "name")
BROKEN = re.compile(r"BROKEN|short of the gate|^fault|FAULT|the first that is wrong")


def day_blocks(site_text):
    """The texts of a site's [[day]] tables."""
    for part in re.split(r"^\[\[day\]\]\n", site_text, flags=re.MULTILINE)[1:]:
        yield re.split(r"^\[(?!\[day)", part, flags=re.MULTILINE)[0]


def traffic_block(site_text, slot):
    """The first day of a slot, as text and as values."""
    for block in day_blocks(site_text):
        values = tomllib.loads(block)
        if values.get("slot") == slot:
            return block, values
    raise SystemExit(f"the site has no day of the slot {slot}: name another in traffic_of")


def without_keys(block, values, keys):
    """The block's text without the given top-level keys, whose values may span lines."""
    lines = []
    skipping = False
    for line in block.splitlines():
        head = re.match(r"([A-Za-z_]+) =", line)
        if head:
            skipping = head.group(1) in keys
        if not skipping:
            lines.append(line)
    return "\n".join(lines)


def key_text(day_text, key):
    """The text of one top-level key of a day file."""
    lines = []
    taking = False
    for line in day_text.splitlines():
        head = re.match(r"([A-Za-z_]+) =", line)
        if head:
            taking = head.group(1) == key
        if taking:
            lines.append(line)
    return "\n".join(lines)


def composed(site_text, day_path):
    """A whole day for the bench: the site's traffic with this folder's troubles."""
    day_text = day_path.read_text()
    day = tomllib.loads(day_text)
    block, values = traffic_block(site_text, day["traffic_of"])
    kept = without_keys(block, values, REPLACED_KEYS)
    parts = [f'name = "{day_path.stem}"', f"seed = {values['seed']}", kept]
    parts += [key_text(day_text, key) for key in ("closing", "plan", "faults")]
    return "\n".join(part for part in parts if part) + "\n"


def play(bench, site, day_path, seed, jobs, why, folder):
    """Runs one day with one seed; true when no rule broke and the gate is passed."""
    file = pathlib.Path(folder) / f"{day_path.stem}.toml"
    file.write_text(composed(pathlib.Path(site).read_text(), day_path))
    command = [bench, "run", site, str(file), "--seed", str(seed), "--jobs", str(jobs), "--why", why]
    outcome = subprocess.run(command, capture_output=True, text=True)
    report = pathlib.Path(folder) / f"{pathlib.Path(site).stem}-{day_path.stem}-{seed}.txt"
    report.write_text(outcome.stdout + outcome.stderr)
    lines = outcome.stdout.splitlines()
    broken = [line.strip() for line in lines if BROKEN.search(line)]
    figures = next((line.strip() for line in lines if line.startswith(day_path.stem)), "no figures")
    passed = outcome.returncode == 0 and not broken and figures != "no figures"
    print(f"{pathlib.Path(site).stem} seed {seed}: {'passed' if passed else 'FAILED'}: {figures[:130]}")
    for line in broken:
        print(f"    {line[:200]}")
    if not passed:
        print(f"    report: {report}")
    sys.stdout.flush()
    return passed


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("--days", default="")
    parser.add_argument("--seeds", default="1")
    parser.add_argument("--jobs", default=4, type=int)
    parser.add_argument("--why", default="own days of the control side")
    arguments = parser.parse_args()
    wanted = [name for name in arguments.days.split(",") if name]
    paths = [path for path in sorted(HERE.glob("*.toml")) if not wanted or path.stem in wanted]
    folder = tempfile.mkdtemp(prefix="ferryhinge-days-")
    seeds = [int(seed) for seed in arguments.seeds.split(",")]
    outcomes = [
        play(arguments.bench, arguments.site, path, seed, arguments.jobs, arguments.why, folder)
        for path in paths
        for seed in seeds
    ]
    sys.exit(0 if all(outcomes) else 1)


if __name__ == "__main__":
    main()
