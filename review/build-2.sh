#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review/, after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -e target/bin/parsleylead-platform ] || [ ! -e target/libparsleylead.a ]; then
  echo "Run the build of deploy/system.toml first." >&2
  exit 2
fi
cmake -S review/lab -B target/review-build -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-build -j4
