#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the gateway, with the compiler and the libraries of the users' build and without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    "${CXX:-g++}" -std=c++17 -O1 -pthread -Ireview/support-3 "$source" -o "target/review-3/case-$number"
done
