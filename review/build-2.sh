#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 and up. Needs only packages that the deploy file names, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for driver in review/support-2/*.cpp; do
    name=$(basename "$driver" .cpp)
    [ "$name" = platform ] && continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread review/support-2/platform.cpp "$driver" -o "build-review-2/$name"
done
