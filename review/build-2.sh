#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python with its standard
# library, so that there is nothing to compile; this checks that they can be
# loaded. The programs under test come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'EOF'
import glob
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sorted(glob.glob("standin-2/*.py") + glob.glob("[6-9]/*.py") + glob.glob("10/*.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("checked", path)
EOF
