#!/bin/bash
# Checks that the soak finds faults: applies each patch of tests/soak/mutants, or
# those given after JOBS and SEEDS_MAX, to a copy of the last commit, and runs
# the soak with JOBS seeds at a time until it reports a violation. Prints a line
# for each patch. Exits with 1 if one was not found, 2 if one does not build.
set -euo pipefail
JOBS=${1:-4}
SEEDS_MAX=${2:-20}
SECONDS_OF_FAULTS=30
shift $(($# < 2 ? $# : 2))
root=$(git rev-parse --show-toplevel)
cd "$root"
patches=("$@")
if [ ${#patches[@]} -eq 0 ]; then
  patches=(tests/soak/mutants/*.patch)
fi
mkdir -p build
copy=$(mktemp -d "$root/build/mutant-XXXXXX")
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"

build_copy() {
  patch -s -p1 -d "$copy" <"$1" &&
    cmake -S "$copy" -B "$copy/build" -DCMAKE_BUILD_TYPE=RelWithDebInfo \
      >/dev/null &&
    cmake --build "$copy/build" -j "$JOBS" --target soak guavabend-platform \
      >/dev/null
}

# Prints the first failed seed of a batch, if any.
run_batch() {
  local first=$1
  for ((seed = first; seed < first + JOBS && seed <= SEEDS_MAX; seed++)); do
    ("$copy/build/soak" "$seed" "$SECONDS_OF_FAULTS" >/dev/null 2>&1 ||
      echo "$seed") &
  done
  wait
}

missed=0
for patch in "${patches[@]}"; do
  name=$(basename "$patch" .patch)
  if ! build_copy "$patch"; then
    echo "$name: does not build"
    exit 2
  fi
  result="not found with seeds 1 to $SEEDS_MAX"
  for ((first = 1; first <= SEEDS_MAX; first += JOBS)); do
    failed=$(run_batch "$first" | sort -n | paste -sd ' ')
    if [ -n "$failed" ]; then
      result="found with seed ${failed%% *} (failed up to there: $failed)"
      break
    fi
  done
  echo "$name: $result"
  [[ $result == found* ]] || missed=1
  patch -s -R -p1 -d "$copy" <"$patch"
done
exit "$missed"
