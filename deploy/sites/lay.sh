#!/bin/sh
# Lays the companion files that the bench wants beside a site file, out of the operators' kit, for a play:
#   sh deploy/sites/lay.sh KIT/sites
# They are not the project's own, and git ignores them here.
set -eu
[ $# -eq 1 ] || { echo "usage: lay.sh FOLDER_WITH_THE_KITS_SITES" >&2; exit 2; }
here=$(cd "$(dirname "$0")" && pwd)
for f in real.json wire.json unlock.txt; do
  [ -f "$1/$f" ] || { echo "lay.sh: no $f in $1" >&2; exit 2; }
  cp "$1/$f" "$here/$f"
  chmod u+w "$here/$f"
done
