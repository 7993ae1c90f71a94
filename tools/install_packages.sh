#!/usr/bin/env bash
# Installs the Debian packages that currantpost is built, checked and tested with.
set -euo pipefail

packages=(
  clang-format
  clang-tidy
  cmake
  g++
  libabsl-dev
  libbenchmark-dev
  libboost-dev
  libcli11-dev
  libcpp-httplib-dev
  libeasyloggingpp-dev
  libexpected-dev
  libgrpc++-dev
  libgtest-dev
  libinih-dev
  libprotobuf-dev
  librapidcheck-dev
  libxxhash-dev
  make
  nlohmann-json3-dev
  pkg-config
  prometheus-cpp-dev
  protobuf-compiler
  protobuf-compiler-grpc
)

missing=()

for package in "${packages[@]}"; do
  dpkg-query --show --showformat='${Status}\n' "$package" 2>/dev/null |
    grep -q '^install ok installed$' || missing+=("$package")
done

if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

apt-get update --quiet=2
DEBIAN_FRONTEND=noninteractive apt-get install --yes --quiet=2 --no-install-recommends "${missing[@]}"
