#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
out=../../target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -o "$out/review3-platform" platform.cpp objectstore.cpp servergroup.cpp stream.cpp
g++ "${flags[@]}" -o "$out/review3-client" client.cpp stream.cpp
