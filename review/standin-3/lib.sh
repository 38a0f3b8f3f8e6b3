# Functions of the scripts review/11/run.sh to review/15/run.sh. A script sets
# SEEDS before it calls start_platform. All addresses are on loopback, all files
# in a temporary folder; the ports are free ones.

REPO=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
STORE_IP=127.77.9.1
DEADLINE_MS=4000
EDGE_MEMORY_MB=80
SIDE_MEMORY_MB=64
declare -A NODE_PID NODE_ROLE

cannot_run() {
    echo "the case cannot run: $1" >&2
    exit 2
}

is_port_free() {
    ! grep -qi ":$(printf '%04X' "$1") " /proc/net/tcp /proc/net/udp
}

# Finds six ports in a row that nobody uses.
choose_ports() {
    local first attempt i
    for attempt in $(seq 50); do
        first=$((20000 + RANDOM % 10000))
        for i in 0 1 2 3 4 5 6 7; do
            is_port_free $((first + i)) || continue 2
        done
        PACKET_PORT=$first
        READY_PORT=$((first + 1))
        CONTROL_PORT=$((first + 2))
        OUTBOUND_PORT=$((first + 3))
        APP_PORT=$((first + 4))
        STORE_PORT=$((first + 5))
        PEER_PORT=$((first + 6))
        return
    done
    cannot_run "no free ports"
}

# stop_all ends every process that the script started.
stop_all() {
    local name
    # Bash reports each process that was killed.
    exec 2>/dev/null
    for name in "${!NODE_PID[@]}"; do
        kill -CONT "${NODE_PID[$name]}" 2>/dev/null
        kill -KILL "${NODE_PID[$name]}" 2>/dev/null
    done
    if [ -n "${STANDIN_PID:-}" ]; then
        kill -KILL "$STANDIN_PID" 2>/dev/null
    fi
    wait
    rm -rf "$WORK"
}

start_platform() {
    local folder=$1
    [ -x "$REPO/target/guavabend-platform" ] || cannot_run "build first"
    [ -x "$REPO/target/review-3/standin" ] || cannot_run "run build-3.sh first"
    WORK=$(mktemp -d)
    trap stop_all EXIT
    choose_ports
    mkfifo "$WORK/commands"
    "$REPO/target/review-3/standin" "$folder/record.txt" $STORE_IP $STORE_PORT \
        $PACKET_PORT $APP_PORT $OUTBOUND_PORT "$DEADLINE_MS" \
        <"$WORK/commands" &
    STANDIN_PID=$!
    exec 9>"$WORK/commands"
}

# say COMMAND...: a command for the stand-in.
say() {
    kill -0 "$STANDIN_PID" 2>/dev/null || cannot_run "the stand-in has ended"
    echo "$*" >&9
}

# node_settings NAME ROLE IP ZONE SERVICE
node_settings() {
    local seeds="" ip side=""
    for ip in $SEEDS; do
        seeds="$seeds${seeds:+,}\"$ip:$CONTROL_PORT\""
    done
    if [ "$2" = agent ]; then
        side="\"app\":\"$3:$APP_PORT\",\"service\":\"$5\","
    fi
    cat >"$WORK/$1.json" <<EOF
{"node":"$1","role":"$2","class":"$([ "$2" = agent ] && echo side || echo edge)",
"serves":["$([ "$2" = agent ] && echo side || echo edge)"],"ip":"$3","zone":"$4",
"region":"r","zones":{"za":"r","zb":"r"},$side
"listen":{"datagramAddr":"$3:$PACKET_PORT","ready":"$3:$READY_PORT",
"control":"$3:$CONTROL_PORT","outbound":"$3:$OUTBOUND_PORT"},
"portRange":[$PEER_PORT,$((PEER_PORT + 1))],"seeds":[$seeds],"bootstrap":true,
"lossCounts":false,"dataDir":null,"discovery":"platform","entry":"announce",
"limits":{"cpuShare":0.5,"cores":1,"memoryMb":$([ "$2" = agent ] && echo $SIDE_MEMORY_MB || echo $EDGE_MEMORY_MB),
"maxFds":4096,"linkMbps":200.0,"diskMb":0},
"beatIntervalMs":1200,"contracts":["base","drain","config","cost","recover","flows","platform"],
"faultTolerance":{"machines":2,"zones":0,"regions":0},
"bounds":{"seedLagS":3,"reuseDelayS":2,"stableWindowMs":5000,"ackMs":8000,"catchUpS":6,
"drainMs":5000,"graceS":6,"lossSlackMs":200,"configApplyMs":5000,"rollbackSlackMs":250,
"maxStretchMs":15000,"recoverS":15,"flowSlackMs":2000,"flowTtlS":60},
"hash":"mod","deploymentMode":"agent",
"platform":{"address":"$STORE_IP:$STORE_PORT","deploymentMode":"read","writesPerS":1200,
"readsPerS":6000,"historyS":20,"valueBytes":1048576,"ttlMinMs":1000}}
EOF
}

# node_start NAME: starts a process with the settings that were written.
node_start() {
    (cd "$REPO" && exec env GUAVABEND_NODE_FILE="$WORK/$1.json" \
        target/guavabend-platform "${NODE_ROLE[$1]}" 9>&- \
        >>"$WORK/$1.log" 2>&1) &
    NODE_PID[$1]=$!
}

# node_add NAME ROLE IP ZONE [SERVICE]
node_add() {
    NODE_ROLE[$1]=$2
    node_settings "$@"
    node_start "$1"
}

# node_kill NAME: SIGKILL.
node_kill() {
    kill -KILL "${NODE_PID[$1]}" || cannot_run "$1 has ended by itself"
    { wait "${NODE_PID[$1]}"; } 2>/dev/null
}

# node_restart NAME...: stops these processes as the platform does, with
# SIGTERM, and starts each again when it has ended.
node_restart() {
    local name
    for name in "$@"; do
        kill -TERM "${NODE_PID[$name]}" || cannot_run "$name has ended"
    done
    for name in "$@"; do
        { wait "${NODE_PID[$name]}"; } 2>/dev/null
        node_start "$name"
    done
}

# finish: ends the stand-in and the script with its exit status.
finish() {
    local status
    exec 9>&-
    { wait "$STANDIN_PID"; } 2>/dev/null
    status=$?
    STANDIN_PID=""
    exit $status
}
