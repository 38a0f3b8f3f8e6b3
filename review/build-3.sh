#!/bin/bash
# Builds the stand-in that the scripts review/11 to review/15 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -o target/review-3/standin \
    review/standin-3/*.c
