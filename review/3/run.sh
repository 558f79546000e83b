#!/bin/sh
# Case 3: bad clients connect by hundreds and send several requests at once, to a sidecar with the least memory.
# TROUBLE=0 does the same without them.
HERE=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
RECORD="$HERE/record.txt"
. "$HERE/../lib.sh"
start_services 9 --work-ms 20
MEMORY_MB=32 SOCKETS=256
start_sidecar
run_clients case3 --sidecar-pid "$SIDECAR" --memory-mb 32 --trouble "$TROUBLE" --connections "${CONNECTIONS:-250}" \
    --requests "${REQUESTS:-2}" --seconds 20
