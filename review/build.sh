#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
"${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -o build/stand_in lib/stand_in.cpp -pthread
