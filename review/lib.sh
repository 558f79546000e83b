# Common parts of the cases' run.sh. The script that reads this has set HERE to its own folder
# and RECORD to the record.txt in it.
# Exit codes of a case: 1 the rule was broken, 0 it held, 2 the case could not run.

ROOT=$(cd "$HERE/../.." && pwd)
STANDIN="$HERE/../bin/standin"
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d) || exit 2
PIDS=""

end_all() {
    for pid in $PIDS; do
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

[ -x "$STANDIN" ] || { echo "review/build.sh has not been run" >&2; exit 2; }
# The command `run` of the deploy file.
RUN=$(sed -n 's/^run *= *"\(.*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
[ -n "$RUN" ] || { echo "no run in deploy/balancer.toml" >&2; exit 2; }
: > "$RECORD" || exit 2

# Starts a program in the background: start LOG COMMAND...; its process id is in LAST.
start() {
    log="$WORK/$1.log"
    shift
    "$@" > "$log" 2>&1 &
    LAST=$!
    PIDS="$PIDS $LAST"
}

# Settings of a small deployment, as on the wire page; $1 is the number of sidecars.
settings() {
    cat <<JSON
{"allowed":{"cancel":true,"connect_timeout":100.0,"keepalive":60000.0,"max_attempts":4,"max_retry_after":600.0,
  "may_duplicate":false,"most_held":24156,"multiplex":1,"peers":false,"probes":true,"retry_after":true,
  "cpu_us_per_request":0.0,"cpu_us_per_s":48313},
 "azs":["howard-ave","pass-road"],"callers":{"marks_retry":false},
 "classes":[
  {"aim":250.0,"dedup_scope":"all","effect":"repeatable","hard_limit":1000.0,"importance":3.0,"late_worth":0.0,"name":"page-fetch","stream":false,"window":5000.0},
  {"aim":400.0,"dedup_scope":"all","effect":"repeatable","hard_limit":1000.0,"importance":3.0,"late_worth":0.0,"name":"draft-save","stream":false,"window":5000.0},
  {"aim":200.0,"dedup_scope":"cell","effect":"by_key","hard_limit":400.0,"importance":3.0,"late_worth":0.0,"name":"errata-log","stream":false,"window":2000.0},
  {"aim":400.0,"dedup_scope":"all","effect":"once","hard_limit":1200.0,"importance":2.0,"late_worth":0.0,"name":"copy-bill","stream":false,"window":5000.0}],
 "counted_by":"request","family":"mesh","family_info":{"warm_keys":false},
 "fees":{"connection":0.0,"cross_zone":0.03,"handshake":0.05,"late_fail":0.08,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.002,"waste":0.05},
 "invariants":{"answer_slack":20.0,"cold_share":0.16,"drain_grace":2000.0,"fall":1500.0,"fall_multiple":2.5,"must_ask_in":10000.0,"warm_up":21000.0},
 "kinds":["c2-full","c2-slow"],"layer":0,"membership_mode":"automatic",
 "objective_mix":{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15},"over_share_worth":0.1,
 "peers_total":$1,"period":5.0,"rank":0,"telemetry":{"columns":["inflight","eps","util"],"how":"pull"},
 "tenants":[],"tiers":["depo-store"],"weights":"rough","zone":0}
JSON
}

# Starts $1 upstreams with the further options that follow, and the agent of discovery.
# Sets UPSTREAM_PIDS, DISCOVERY and LISTEN.
start_services() {
    count=$1
    shift
    # shellcheck disable=SC2046
    set -- "$count" $("$STANDIN" port --count $((count + 2))) -- "$@"
    shift
    DISCOVERY="127.0.0.1:$1"
    LISTEN="127.0.0.1:$2"
    shift 2
    ports=""
    while [ "$1" != "--" ]; do
        ports="$ports $1"
        shift
    done
    shift
    UPSTREAM_PIDS=""
    hosts=""
    number=0
    for port in $ports; do
        number=$((number + 1))
        start "upstream-$number" "$STANDIN" upstream --listen "127.0.0.1:$port" --name "s-$number" --record "$RECORD" "$@"
        UPSTREAM_PIDS="$UPSTREAM_PIDS $LAST"
        hosts="$hosts,s-$number=127.0.0.1:$port"
    done
    HOSTS=${hosts#,}
    start discovery "$STANDIN" discovery --listen "$DISCOVERY" --hosts "$HOSTS"
}

# Writes the configuration of the sidecar.
write_config() {
    cat > "$WORK/config.json" <<JSON
{"name":"n0","listen":"$LISTEN","discovery":"$DISCOVERY","seed":"$(od -An -N8 -tx8 /dev/urandom | tr -d ' ')",
 "limits":{"cores":1.0,"memory_mb":${MEMORY_MB:-192},"sockets":${SOCKETS:-1024}},
 "known":{"seq":0,"whole":true,"hosts":[]},
 "settings":$(settings 1)}
JSON
}

# Starts the sidecar from the repository's root; its process id is in SIDECAR.
start_sidecar() {
    write_config
    mkdir -p "$WORK/tmp"
    start sidecar sh -c "cd '$ROOT' && export ROUTER_NAME=n0 ROUTER_LISTEN=$LISTEN ROUTER_DISCOVERY=$DISCOVERY \
        ROUTER_CONFIG='$WORK/config.json' TMPDIR='$WORK/tmp'; $RUN"
    SIDECAR=$LAST
}

# Runs the case's clients: run_clients STANDIN-COMMAND OPTIONS... Ends the script with their exit code.
run_clients() {
    "$STANDIN" "$@" --record "$RECORD" --sidecar "$LISTEN" &
    LAST=$!
    PIDS="$PIDS $LAST"
    wait "$LAST"
    code=$?
    sed 's/^/sidecar log: /' "$WORK/sidecar.log" >> "$RECORD"
    exit $code
}
