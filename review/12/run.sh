#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 play.py
