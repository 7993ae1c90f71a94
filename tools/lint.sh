#!/usr/bin/env bash
# Checks format and runs clang-tidy over all of the project's own code. Needs build/.
set -euo pipefail
cd "$(dirname "$0")/.."

git ls-files '*.h' '*.cc' ':!lib/generated' | xargs clang-format --dry-run --Werror

cmake -S . -B build >/dev/null
git ls-files '*.cc' ':!lib/generated' |
  xargs --max-procs "${LINT_JOBS:-$(nproc)}" --max-args 1 clang-tidy --quiet -p build 2>/dev/null
echo "format and lint are clean"
