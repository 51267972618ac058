#!/bin/sh
# Route profiles with parts from two stand-in dependencies, on one machine: run from the root, after the build.
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
echo "both dependencies are there:"
build/granitegap_toy ask route-profile "blue trail"
kill $names
echo "names are gone, and what is kept serves for this trail; another has the declared default:"
build/granitegap_toy ask route-profile "blue trail"
build/granitegap_toy ask route-profile "red trail"
kill $elevation
sleep 1
echo "both are gone:"
build/granitegap_toy ask route-profile "green trail"
