#!/bin/bash
# Builds the stand-ins of the review's scripts into target/review/, with the
# compiler and the C library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-format-truncation \
  -o target/review/standin review/standin/*.c
