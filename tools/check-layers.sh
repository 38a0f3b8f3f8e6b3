#!/bin/bash
# Checks that each layer includes only headers of its own and lower layers, and
# that coordination and state include neither libevent nor msgpack nor jansson.
set -uo pipefail
cd "$(dirname "$0")/.."
status=0
deny() {
  local layer=$1 pattern=$2
  if grep -rnE "^#include [<\"]($pattern)" "src/$layer" 2>/dev/null; then
    echo "layer $layer must not include the files above" >&2
    status=1
  fi
}
deny protocol 'transport/|programs/|event2/'
deny coordination 'transport/|protocol/|programs/|event2/|event\.h|msgpack|jansson'
deny state 'transport/|protocol/|coordination/|programs/|event2/|event\.h|msgpack|jansson'
exit $status
