#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review -j4 --target standin_site >/dev/null
mapfile -t libs < <(find target/review -name '*.a')
for name in large_answers small_site; do
  # shellcheck disable=SC2046
  g++ -std=c++20 -O2 -Wall -Wextra -I. -Ilibs "review/standin/$name.cc" \
    -o "target/review/${name//_/-}" \
    -Wl,--start-group "${libs[@]}" -Wl,--end-group \
    $(pkg-config --libs libuv jsoncpp) -lhttp_parser -lpopt -lsodium -lpthread
done
