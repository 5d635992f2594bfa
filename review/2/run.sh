#!/usr/bin/env bash
# Plays the case isolated; see claim.txt. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/review/kit" ] || { echo "run review/build.sh first"; exit 2; }
exec "$root/target/review/kit" isolated "$here/record.txt" "$root"
