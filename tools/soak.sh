#!/bin/bash
# Plays the seeds of tests/soak/seeds.txt and COUNT fresh ones from SEED on,
# JOBS at a time. Logs of failed runs go to BUILD/soak-SEED.
set -euo pipefail
BUILD=$1
SEED=$2
COUNT=$3
JOBS=$4
SECONDS_OF_FAULTS=15
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
