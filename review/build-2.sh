#!/bin/sh
# The stand-ins of the second review are Python; check that they compile.
set -eu
cd "$(dirname "$0")"
cache=$(mktemp -d)
trap 'rm -rf "$cache"' EXIT
PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile standins2.py $(ls [6-9]/case.py 10/case.py 2>/dev/null)
