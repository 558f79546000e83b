#!/bin/sh
# Case 2: two of twelve upstreams take requests and answer none for 15 s, while clients upload bills.
# TROUBLE=0 does the same without that.
HERE=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
RECORD="$HERE/record.txt"
. "$HERE/../lib.sh"
start_services 12 --work-ms 20
start_sidecar
set -- $UPSTREAM_PIDS
run_clients case2 --hung-pids "$1,$3" --trouble "$TROUBLE" --bytes "${BYTES:-4194304}" --uploads "${UPLOADS:-60}" \
    --group "${GROUP_SIZE:-5}" --timeout-ms 900
