#!/usr/bin/env bash
# The stand-ins of cases 9 to 13 are one Python file that needs the standard library only: there is
# nothing to compile, so this checks that the interpreter reads it and every case.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin-3/cell.py 9/case.py 10/case.py 11/case.py 12/case.py 13/case.py <<'CHECK'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as f:
        ast.parse(f.read(), path)
CHECK
