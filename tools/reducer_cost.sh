#!/usr/bin/env bash
# Prints what the reducer costs by size: time, memory, messages, calls to the store.
# Arguments are those of reducer_cost, such as --benchmark_filter=Dump.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d build ]; then
  cmake -S . -B build >/dev/null
fi

cmake --build build --parallel "${BUILD_JOBS:-4}" --target reducer_cost >/dev/null
./build/bench/reducer_cost "$@"
