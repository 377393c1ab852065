#!/bin/sh
# Prepares the stand-ins of the cases: they are Python files of the standard
# library, so that it is enough to check that they compile.
cd "$(dirname "$0")" || exit 2
python3 -c '
import pathlib
import sys

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
