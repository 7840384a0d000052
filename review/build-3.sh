#!/usr/bin/env bash
# Builds the stand-in that the scripts of the cases 11 to 15 start, into target/. Expects
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
read -r -a jsoncpp <<<"$(pkg-config --cflags --libs jsoncpp)"
"${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra review/standin-3/site.cc -o target/review-3/site "${jsoncpp[@]}"
