#!/bin/bash
# The stand-ins are Python scripts that use the standard library only: nothing to compile, so this
# checks that they can be loaded. The daemons come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standin/*.py [0-9]*/*.py <<'P'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        compile(f.read(), path, "exec")
P
