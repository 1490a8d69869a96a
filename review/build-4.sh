#!/usr/bin/env bash
# Builds the stand-ins and the cases 13 to 17 into target/review-4/trial. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-4
g++ -std=c++20 -O1 -Wall -Wextra -o target/review-4/trial review/standin-4/trial.cpp -lpthread
