"""Prints a hash of a source file as the compiler sees it, and of the lint rules.

Usage: compile_key.py COMPILE_COMMANDS FILE RULES
"""

import hashlib
import json
import os
import shlex
import subprocess
import sys


def main() -> int:
    commands, file, rules = sys.argv[1:4]
    target = os.path.abspath(file)
    with open(commands, encoding="utf-8") as handle:
        entries = json.load(handle)
    entry = next((e for e in entries if os.path.abspath(os.path.join(e["directory"], e["file"])) == target), None)
    if entry is None:
        print(f"lint: {file} is not part of the build", file=sys.stderr)
        return 1
    args = shlex.split(entry["command"])
    if os.path.basename(args[0]) == "ccache":
        args = args[1:]
    output = args.index("-o")
    del args[output:output + 2]
    args.remove("-c")
    root = os.getcwd()
    text = subprocess.run(args + ["-E", "-P"], cwd=entry["directory"], check=True, capture_output=True).stdout
    digest = hashlib.sha256(text.replace(root.encode(), b""))
    with open(file, "rb") as handle:
        # NOLINT comments are not part of the preprocessed text.
        digest.update(handle.read())
    with open(rules, "rb") as handle:
        digest.update(handle.read())
    print(digest.hexdigest())
    return 0


sys.exit(main())
