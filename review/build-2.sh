#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target -j8 --target magnoliareel-node standin-site >/dev/null
# shellcheck disable=SC2046
for it in value_callers drain_writer; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/${it//_/-}" "review/client/$it.cc" \
    -pthread $(pkg-config --cflags --libs jsoncpp)
done
