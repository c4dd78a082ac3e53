#!/usr/bin/env bash
# Plays the case compacted-link; see claim.txt. TROUBLE=0 plays it without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/standin ] || { echo "target/review/standin is missing: run review/build.sh"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
ENTRY_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
export ENTRY_COMMAND
exec timeout --foreground -k 2 115 target/review/standin compacted-link "$folder/record.txt"
