#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2/cases.cpp review/standin-2/world.cpp \
  -o target/review-2/cases -pthread
g++ -std=c++20 -O1 -Wall -Wextra review/standin-2b/cases.cpp -o target/review-2/lease-cases -pthread
