#!/usr/bin/env bash
# Builds the stand-ins that the cases start, without a network, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build -j6
