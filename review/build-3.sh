#!/usr/bin/env bash
# Builds the stand-in of the cases of this review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin-3/cases.cpp -o target/rattanpond-review-3
