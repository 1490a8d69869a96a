#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 115 target/review-2/lease-cases suspended-lease target/rattanpond-node "$folder" \
  review/9/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
