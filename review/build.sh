#!/usr/bin/env bash
# Prepares what the scripts of the cases start beside the programs of the deploy file: stand-ins of
# the store, the workers, the clients and the network, written in Python without further packages.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
for source in common/*.py [1-5]/*.py; do
  [ -e "$source" ] || continue
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
