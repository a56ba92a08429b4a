#!/bin/sh
# Builds what the scripts of review 3 start, after the build of deploy/system.toml. Their stand-ins are
# Python files that need the standard library only, so there is nothing to compile: this checks that the
# interpreter takes them and that the project's program is there.
set -eu
cd "$(dirname "$0")/.."
python3 - review/site3/*.py review/1[1-5]/case.py <<'PY'
import ast
import sys

assert sys.version_info >= (3, 9), "Python 3.9 or later is needed"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
print(f"{len(sys.argv) - 1} files of the stand-ins and cases are fine")
PY
test -x target/bin/parsleylead-platform || {
  echo "target/bin/parsleylead-platform is missing: run the build of deploy/system.toml first" >&2
  exit 1
}
