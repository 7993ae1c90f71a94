#!/usr/bin/env bash
# Prints what a request costs through an entry, against straight to the upstream.
# Arguments are those of path_cost, such as --rounds 10.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d build ]; then
  cmake -S . -B build >/dev/null
fi

cmake --build build --parallel "${BUILD_JOBS:-4}" --target path_cost >/dev/null
./build/bench/path_cost --build-dir build "$@"
