#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, each with its stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ ! -f "$source" ] || g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number"
done
echo "review-2: built"
