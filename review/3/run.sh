#!/bin/bash
# Runs case 3 after the build of the deploy file and review/build.sh. Exits
# with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. KEEP_LOGS=1 keeps the processes' logs.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
exec timeout --kill-after=5 110 target/review/standin kept-flows-long-pause "$here"
