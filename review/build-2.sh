#!/usr/bin/env bash
# Builds the stand-ins and drivers that the scripts of the second review start. Needs the packages
# of the deploy file and no network.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S review/standins-2 -B build-review-2 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-2 --parallel "${BUILD_JOBS:-4}"
