#!/usr/bin/env bash
# Prints the table that compares placement policies, and draws its plots into build/plots.
# Arguments are those of policy_table, such as --seeds 20.
set -euo pipefail
cd "$(dirname "$0")/.."

if [ ! -d build ]; then
  cmake -S . -B build >/dev/null
fi

cmake --build build --parallel "${BUILD_JOBS:-4}" --target policy_table >/dev/null
mkdir -p build/plots
./build/bench/policy_table --plots build/plots "$@"
