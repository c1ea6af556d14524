#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/review-2. The program under test is built by
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -o target/review-2/review-case \
    review/platform-2/*.cpp
