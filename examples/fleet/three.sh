#!/bin/sh
# Starts three tile servers that form a fleet, then pauses and resumes the third. Run from the top of the project
# after the build.
set -eu
work=$(mktemp -d)
pids=
trap 'for p in $pids; do kill -CONT $p; kill -9 $p; done 2>/dev/null || true; rm -rf "$work"' EXIT
build/granitegap_toy world > "$work/world.log" &
pids=$!
for n in 1 2 3; do
  sed "s/\"n1\"/\"n$n\"/; s/:7001/:700$n/" examples/try/config.json > "$work/n$n.json"
  EDGE_CONFIG="$work/n$n.json" build/granitegap serve --operator examples/fleet/n$n.cue 2> "$work/n$n.log" &
  pids="$pids $!"
done
third=$!
sleep 2
echo "-- the fleet in the view of the first member"
build/granitegap members 127.0.0.1:9101
echo "-- pausing the third"
kill -STOP "$third"
sleep 4
build/granitegap members 127.0.0.1:9101
echo "-- resuming the third"
kill -CONT "$third"
sleep 2
build/granitegap members 127.0.0.1:9101
