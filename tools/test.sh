#!/usr/bin/env bash
# Installs what is missing, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."

./tools/build.sh

cd build
ctest --output-on-failure --parallel 6
