#!/bin/bash
# Installs missing packages, builds, and runs a demo of the whole system on
# loopback for about 30 s. The demo ends every process that it has started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
tools/install-deps.sh
make --no-print-directory build >"${TMPDIR:-/tmp}/guavabend-demo-build.$$" ||
  { cat "${TMPDIR:-/tmp}/guavabend-demo-build.$$"; exit 1; }
rm -f "${TMPDIR:-/tmp}/guavabend-demo-build.$$"
exec "$build/demo"
