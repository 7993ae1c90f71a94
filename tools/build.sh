#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."

./tools/install_packages.sh

cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --parallel "${BUILD_JOBS:-$(nproc)}"
