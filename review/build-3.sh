#!/bin/sh
# Check the stand-ins and scripts of review/11 to review/15. They are in Python
# and need no build beside that of the deploy file.
set -eu

cd "$(dirname "$0")/.."
for file in review/standins3.py review/1[1-5]/play.py; do
	[ -f "$file" ] || continue
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1],
	    "exec")' "$file"
done
