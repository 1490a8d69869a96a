#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g -Wall -Wextra -Wno-missing-field-initializers -pthread -o target/review/trial review/standin/*.cpp
