#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p review/bin
flags=(-std=c++20 -O2 -pthread -I review/standins -I lib/base/include -I lib/model/include
  -I lib/transport/include $(pkg-config --cflags absl_strings))
libs=($(pkg-config --libs absl_strings))
objects=()

compile() {
  local object="review/bin/$(echo "$1" | tr / _).o"
  objects+=("$object")
  g++ "${flags[@]}" -c "$1" -o "$object" &
}

for source in lib/transport/source/*.cc lib/base/source/error.cc lib/base/source/time.cc \
  review/standins/store.cc review/standins/worker.cc review/standins/world.cc; do
  compile "$source"
done

for job in $(jobs -p); do wait "$job"; done

g++ "${flags[@]}" review/standins/main.cc "${objects[@]}" "${libs[@]}" -o review/bin/standin &

for source in review/[1-5]/case.cc; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" "${objects[@]}" "${libs[@]}" -o "review/bin/case$number" &
done

for job in $(jobs -p); do wait "$job"; done
