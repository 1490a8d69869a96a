#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. Run after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -o target/review-3/standin review/standin-3/main.cpp review/standin-3/cases.cpp
