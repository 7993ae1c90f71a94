#!/usr/bin/env bash
# Prints what the scheduler costs by cells owned, jobs waiting and cells in the fleet.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d build ]; then
  cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
fi

cmake --build build --parallel "${BUILD_JOBS:-4}" --target scheduler_cost >/dev/null
./build/bench/scheduler_cost
