#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. Run after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
g++ -std=c++20 -O1 -Wall -Wextra -o build-review-2/peer review/standins-2/peer.cpp
