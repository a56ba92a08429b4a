#!/usr/bin/env bash
# Shows the case that claim.txt describes. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/parsleylead-platform ] || { echo "build the deploy file first" >&2; exit 2; }
exec timeout -k 2 118 python3 review/n6/case.py
