#!/bin/bash
# Runs the soak test with the seeds of tests/soak/seeds.txt and with COUNT new
# seeds starting at SEED, JOBS runs at a time. Logs of failed runs are written
# to BUILD/soak-SEED.
set -euo pipefail
BUILD=$1
SEED=$2
COUNT=$3
JOBS=$4
SECONDS_OF_FAULTS=30
{
  grep -v '^#' tests/soak/seeds.txt | cut -d' ' -f1,2
  for ((i = 0; i < COUNT; i++)); do
    echo "$((SEED + i)) $SECONDS_OF_FAULTS"
  done
} | xargs -P "$JOBS" -L 1 bash -c '
  output=$("$0/soak" "$1" "$2" "$0/soak-$1" 2>&1) || {
    printf "%s\n" "$output" | grep -v " note "
    exit 1
  }
  printf "%s\n" "$output" | tail -n 1' "$BUILD"
