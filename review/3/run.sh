#!/bin/sh
# Case 3: two of nine upstreams, in one building, become 6 times slower for 14 s while they give long answers.
# TROUBLE=0 does the same without that.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../lib.sh"
SLOW="$WORK/slow"
EXTRA_FOR_1_AND_3="--slow-file $SLOW"
start_services 9 --work-ms 20 --long-bytes 204800 --piece-bytes 4096 --piece-ms 80 --slow-tenths "${SLOW_TENTHS:-60}"
start_sidecar
"$STANDIN" case3 --record "$RECORD" --sidecar "$LISTEN" --slow-file "$SLOW" --trouble "$TROUBLE" \
    --timeout-ms "${TIMEOUT_MS:-500}" --rate "${RATE:-30}" --seconds 20
code=$?
sed 's/^/sidecar log: /' "$WORK/sidecar.log" >> "$RECORD"
exit $code
