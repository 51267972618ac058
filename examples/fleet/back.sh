#!/bin/sh
# Starts three tile servers, waits for full service, then kills and restarts the third. Shows which members the
# restarted process queries, the phases of its recovery, and how long the recovery took. Run from the top of the
# project after the build.
set -eu
work=$(mktemp -d)
pids=
trap 'kill -9 $pids 2>/dev/null || true; rm -rf "$work"' EXIT
build/granitegap_toy world > "$work/world.log" &
pids=$!
start() {
  (cat "examples/fleet/n$1.cue"; echo "recovery: {folder: \"$work/state$1\"}") > "$work/n$1.cue"
  sed "s/\"n1\"/\"n$1\"/; s/:7001/:700$1/" examples/try/config.json > "$work/n$1.json"
  EDGE_CONFIG="$work/n$1.json" build/granitegap serve --operator "$work/n$1.cue" 2>> "$work/n$1.log" &
  last=$!
  pids="$pids $last"
}
for n in 1 2 3; do start $n; done
third=$last
echo "-- waiting until all three are in full service; without requests this takes a while"
for k in $(seq 60); do
  build/granitegap members 127.0.0.1:9101 > "$work/members" || true
  [ "$(grep -c 'full service after' "$work/members")" = 3 ] && break
  sleep 1
done
cat "$work/members"
echo "-- killing and restarting the third"
kill -9 "$third"
start 3
sleep 2
build/granitegap recovery 127.0.0.1:9103
grep 'recovery: ' "$work/n3.log" | tail -n 8
