"""Runs every console block of docs/runbook.md, so that the page stays true."""

import os
import re
import shlex
import subprocess
import sys

import process_case
from process_case import lib

WAIT_S = 90


def blocks():
    """(command, expected lines) in the order of the page."""
    text = (lib.ROOT / "docs" / "runbook.md").read_text()
    for block in re.findall(r"```console\n(.*?)```", text, re.S):
        for part in re.split(r"^\$ ", block, flags=re.M)[1:]:
            lines = part.strip().split("\n")
            yield lines[0], lines[1:]


def run_command(cluster, command):
    words = shlex.split(command)
    environment = dict(os.environ, CHIVEGLADE_ENTRY=cluster.operators(), CHIVEGLADE_OPERATOR="newcomer")
    done = subprocess.run([str(cluster.program), *words[1:]], env=environment, cwd=lib.ROOT, capture_output=True,
                          text=True, timeout=60, check=False)
    return done.returncode, done.stdout + done.stderr


def runbook(cluster):
    """A runbook step that no longer works would fail a newcomer at night."""
    count = 0
    for command, expected in blocks():
        last = {}

        def shows():
            last["code"], last["text"] = run_command(cluster, command)
            return last["code"] == 0 and all(line in last["text"] for line in expected)

        # Only a question may be asked again; a change is made once.
        if " status" in command or " show" in command:
            try:
                cluster.wait_for(shows, command, WAIT_S)
            except AssertionError as error:
                raise AssertionError(f"{error}; last: {last}, expected {expected}") from error
        elif not shows():
            raise AssertionError(f"{command}: {last}, expected {expected}")
        count += 1
    if count < 20:
        raise AssertionError(f"only {count} commands found on the page")


def nothing_broke(cluster):
    """The steps of the page keep every promise."""
    problems = process_case.check_everything(cluster)
    if problems:
        raise AssertionError(problems[:5])


if __name__ == "__main__":
    sys.exit(process_case.run([runbook, nothing_broke], workers=11))
