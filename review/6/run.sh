#!/usr/bin/env bash
# Plays case 6; see claim.txt. Exit code 1: the rule was broken, 0: it held, 2: not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/parsleylead-platform ] || { echo "build the deploy file first" >&2; exit 2; }
exec timeout -k 2 118 python3 -B review/6/case.py
