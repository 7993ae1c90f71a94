#!/usr/bin/env bash
# Builds everything and runs the main job: entries and stand-ins as processes, promises checked.
set -euo pipefail
cd "$(dirname "$0")/.."

./tools/build.sh
exec ./build/tests/demo/currantpost_demo --build-dir build
