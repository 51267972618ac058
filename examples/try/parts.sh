#!/bin/sh
# Requests route profiles with parts from two stand-in dependencies on one machine. Run from the top of the project
# after the build.
set -eu
build/granitegap_toy world >/dev/null &
toy=$!
build/granitegap_standin examples/try/elevation.cue --port 9001 --port 9002 >/dev/null &
elevation=$!
build/granitegap_standin examples/try/names.cue --port 9003 >/dev/null &
names=$!
EDGE_CONFIG=examples/try/config.json build/granitegap serve --operator deploy/operator.cue &
server=$!
trap 'kill $toy $elevation $names $server 2>/dev/null || true' EXIT
sleep 1
echo "both dependencies are available:"
build/granitegap_toy ask route-profile "blue trail"
kill $names
echo "names is unavailable; the first trail gets the cached response, the second the configured fallback:"
build/granitegap_toy ask route-profile "blue trail"
build/granitegap_toy ask route-profile "red trail"
kill $elevation
sleep 1
echo "both dependencies are unavailable:"
build/granitegap_toy ask route-profile "green trail"
