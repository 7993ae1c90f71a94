#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
flags=(-std=c++20 -O2 -pthread -I review -I lib/base/include -I lib/model/include
  -I lib/transport/include $(pkg-config --cflags absl_strings))
libs=($(pkg-config --libs absl_strings))
objects=()

compile() {
  local object="target/review/$(echo "$1" | tr / _).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$1" -o "$object" &
}

for source in lib/transport/source/*.cc lib/base/source/error.cc lib/base/source/time.cc \
  review/store.cc review/worker.cc review/world.cc; do
  compile "$source"
done

for job in $(jobs -p); do wait "$job"; done

g++ "${flags[@]}" review/standin.cc "${objects[@]}" "${libs[@]}" -o target/review/standin &

for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libs[@]}" -o "target/review/case$number" &
done

for job in $(jobs -p); do wait "$job"; done
