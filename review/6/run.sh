#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
# not run. With TROUBLE=0 it runs without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case_backend ] || exit 2
exec target/review-2/case_backend review/6
