#!/bin/bash
# Builds the stand-ins and cases of the second review into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/case_*.c; do
  name=$(basename "$source" .c)
  gcc -std=gnu11 -O2 -Wall -Wextra -o "target/review-2/$name" "$source" \
    review/standin-2/{client,fleet,host,lab,manifest,packet,store}.c
done
