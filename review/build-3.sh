#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts, all of them in Python. The
# build of the deploy file comes first; no other package is needed.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/common3 review/11 review/12 review/13 review/14
