#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review. Needs the packages of the deploy file only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
output=$here/../target/review
mkdir -p "$output"

flags=(-std=c++20 -O1 -Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers -DASIO_STANDALONE
    -I"$here/standin" -pthread)
compile() {
    g++ "${flags[@]}" -c "$1" -o "$output/$(basename "${1%.cpp}").o"
}
jobs=()
for file in "$here"/standin/*.cpp "$here"/[1-5]/*.cpp; do
    [ -e "$file" ] || continue
    compile "$file" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
common=()
for file in "$here"/standin/*.cpp; do
    common+=("$output/$(basename "${file%.cpp}").o")
done
for file in "$here"/[1-5]/*.cpp; do
    [ -e "$file" ] || continue
    program=$(basename "${file%.cpp}")
    g++ "$output/$program.o" "${common[@]}" -pthread -o "$output/$program"
done
