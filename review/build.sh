#!/bin/sh
# Checks the stand-ins of the cases. They are plain Python and need nothing but the standard library.
set -eu
cd "$(dirname "$0")"
python3 - *.py */case.py <<'P'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
P
