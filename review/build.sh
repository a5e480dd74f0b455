#!/usr/bin/env bash
# Builds the stand-ins of the review cases into review/bin, with the compiler of the deploy file's packages alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/*.cpp; do
    [ -e "$source" ] || continue
    target=bin/$(basename "$source" .cpp)
    if [ "$source" -nt "$target" ] || [ stage.hpp -nt "$target" ]; then
        g++ -std=c++20 -O2 -Wall -Wno-unused-result -pthread -o "$target" "$source"
    fi
done
