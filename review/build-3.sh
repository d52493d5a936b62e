#!/bin/sh
# The stand-ins of cases 11 to 15 are Python programs (review/standin-3) that need its standard library only, so there is
# nothing to compile. This checks that they can be loaded, and that the build of the deploy file has made the programs.
set -eu
cd "$(dirname "$0")/.."
test -x target/chiveglade
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review/standin-3 python3 -c 'import deployment, link, platform_store, worker'
