#!/usr/bin/env bash
# Builds the trials of REPORT-4.md, which are no cases, into target/review-2/trial.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra review/standin-4/trial.cpp -o target/review-2/trial -pthread
