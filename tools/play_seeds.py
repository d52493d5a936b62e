#!/usr/bin/env python3
"""Plays the standard days of deployments with other seeds and prints the worth
that each class and zone earns beside the floor of its day.

A hunt reports broken rules only; a day with another seed on which too little is
served shows here. The floors are those of the standard seeds, so a play below
one is a finding to look at, not by itself a fault.

    tools/play_seeds.py --bench fleetbench --seed 101 --seed 202 SITE.toml...

Exits with 1 if a play was below a floor, broke a rule or gave no report.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile
import tomllib


def play(args, site, day, seed, report):
    """Plays one day. Returns its report, or None if there is none."""
    command = [args.bench, "run", str(site), day, "--report", str(report)]
    command += ["--why", args.why]
    if seed is not None:
        command += ["--seed", str(seed)]
    if args.no_cpu:
        command.append("--no-cpu")
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    try:
        return json.loads(report.read_text())
    except (OSError, json.JSONDecodeError) as error:
        print(f"{site.stem} {day} {seed}: no report ({error}), exit code "
              f"{done.returncode}\n{done.stderr[-2000:]}", file=sys.stderr)
        return None


def below_floor(kind, entries, floors):
    """Prints the entries beside the floor and returns the names of those below.

    The floor holds for each entry with a twentieth of the requests or more.
    """
    requests = sum(entry["n"] for entry in entries)
    below = []
    for entry in entries:
        has_floor = bool(floors) and 20 * entry["n"] >= requests
        is_below = has_floor and entry["worth"] < floors[0]
        if is_below:
            below.append(entry["name"])
        print(f"    {kind:5} {entry['name']:28} worth {entry['worth']:.3f}"
              + (f"  floor {floors[0]:.3f}" if has_floor else "")
              + ("  BELOW" if is_below else ""))
    return below


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("sites", nargs="+", type=pathlib.Path)
    parser.add_argument("--bench", default="fleetbench", help="the bench program")
    parser.add_argument("--seed", action="append", type=int, default=[],
                        help="a seed to play; the standard seeds come first")
    parser.add_argument("--day", action="append", default=[],
                        help="plays only these days")
    parser.add_argument("--no-cpu", action="store_true",
                        help="does not charge processor time")
    parser.add_argument("--why", default="Standard days with other seeds")
    args = parser.parse_args()
    findings = []
    plays = 0
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        for site in args.sites:
            with site.open("rb") as file:
                days = tomllib.load(file)["day"]
            for day in days:
                if args.day and day["name"] not in args.day:
                    continue
                for seed in [None, *args.seed]:
                    plays += 1
                    label = f"{site.stem} {day['name']} seed {seed or 'standard'}"
                    report.unlink(missing_ok=True)
                    result = play(args, site, day["name"], seed, report)
                    if result is None:
                        findings.append(f"{label}: no report")
                        continue
                    breaks = {rule: count for rule, count
                              in result["breaks"].items() if count}
                    print(f"{label}: worth {result['G']:.3f}"
                          + (f", broken rules {breaks}" if breaks else ""))
                    below = below_floor("class", result["classes"],
                                         day.get("floor_classes", []))
                    below += below_floor("zone", result["zones"],
                                          day.get("floor_zones", []))
                    if below or breaks:
                        findings.append(f"{label}: below the floor {below}, "
                                        f"broken rules {breaks}")
                    sys.stdout.flush()
    print(f"{plays} plays, {len(findings)} with findings")
    for finding in findings:
        print(f"  {finding}")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
