# Functions of the scripts of review 3. Sourced by run.sh of a case, which sets: here (its folder) and trouble.
set -uo pipefail

root=$(cd "$here/../.." && pwd)
entry=$root/target/bin/jujubekeel-entry
platform=$root/target/review-3/review3-platform
client=$root/target/review-3/review3-client
record=$here/record.txt
network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
store="$network.1:7100"
work=$(mktemp -d)
pids=()

# finish CODE MESSAGE: ends all processes that were started, completes the record and exits.
finish() {
    local pid
    for pid in "${pids[@]}"; do
        disown "$pid" 2>/dev/null
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
    done
    cat "$work"/*.events 2>/dev/null | sort -s -n -k1,1 >>"$record"
    echo "result $1: $2" | tee -a "$record"
    [ -n "${KEEP:-}" ] && cp -r "$work" "$KEEP"
    rm -rf "$work"
    exit "$1"
}
trap 'finish 2 "interrupted"' INT TERM

# note EVENT...: a line of the record.
note() {
    echo "$(date +%s%3N) $*" >>"$work/case.events"
}

# launch NAME OUTPUT COMMAND...: starts a process; sets: last_pid.
launch() {
    local name=$1 output=$2
    shift 2
    "$@" >"$output" 2>"$work/$name.errors" &
    last_pid=$!
    pids+=("$last_pid")
}

# await SECONDS COMMAND...: repeats the command until it succeeds.
await() {
    local end=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.1
    done
}

# fault JSON: sets a fault of the stand-in.
fault() {
    post /fault "$1" >/dev/null || finish 2 "the fault was not set"
}

post() {
    curl -sf -X POST -H 'Content-Type: application/json' --data-binary "$2" "http://$store$1"
}

# start_platform SYNC [TENANTS]: the stand-in of the platform with three servers, and the first configuration, with the
# given text of the list of tenants.
start_platform() {
    local sync=$1 tenants=${2:+, \"Tenants\": $2}
    for program in "$entry" "$platform" "$client"; do
        [ -x "$program" ] || finish 2 "$program is not built"
    done
    : >"$record"
    launch platform "$work/platform.events" "$platform" 8 "$network.1" "$network.2" "$network.3" "$network.4"
    await 10 curl -sf "http://$store/api/objects/servers" || finish 2 "the platform did not start"
    post /api/objects/config "{\"meta\": {\"Name\": \"main\"}, \"spec\": {\"Version\": 4, \"Routes\": [
        {\"Name\": \"r1\", \"Host\": \"orders\", \"PathPrefix\": \"/\", \"Service\": \"records\", \"Kind\": \"primary\",
         \"TimeoutMs\": 1000, \"GoalMs\": 400, \"Priority\": 1, \"MaxStalenessMs\": 0},
        {\"Name\": \"r2\", \"Host\": \"lookups\", \"PathPrefix\": \"/\", \"Service\": \"records\",
         \"Kind\": \"bounded_stale\", \"TimeoutMs\": 2000, \"GoalMs\": 800, \"Priority\": 2, \"MaxStalenessMs\": 1500}],
        \"Services\": [{\"Name\": \"records\", \"MaxConns\": 21, \"SyncReplicas\": $sync}],
        \"Limits\": {\"TxIdleMs\": 3000}$tenants}}" >/dev/null || finish 2 "the configuration was not accepted"
}

# start_entry NUMBER: an entry instance, with the command of the deploy file; waits until it is ready. Sets: last_pid.
start_entry() {
    local ip="$network.1$1"
    cat >"$work/entry$1.yaml" <<SETTINGS
NodeName: "front-d$((($1 - 1) % 3))-$1"
Role: "entry"
MachineClass: "front"
Serves: ["front"]
Ip: "$ip"
Zone: "d$((($1 - 1) % 3))"
Region: "r$((($1 - 1) % 3))"
Zones: { d0: "r0", d1: "r1", d2: "r2" }
Listen: { Front: "$ip:7200", ReadyAddr: "$ip:7201", ControlAddr: "$ip:7202" }
PortRange: [7440, 7455]
Bootstrap: ${bootstrap:-true}
Limits: { CpuShare: 0.25, Cores: 1, MemoryMb: 260, MaxFds: 1000, LinkMbps: 1000.0, DiskMb: 0 }
HeartbeatMs: 1200
Contracts: ["base", "drain", "config", "cost", "recover", "sql", "platform"${contracts:-}]
Bounds: { StableWindowMs: 4000, DrainMs: 7000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, Fencing: false }
platform: { Address: "$network.1:710$1", form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20 }
CloudApi: { Address: "$network.1:710$1", Duties: ["promotion"], DutyPerS: 50.0 }
SETTINGS
    JUJUBEKEEL_SETTINGS="$work/entry$1.yaml" launch "entry$1" "$work/entry$1.log" "$entry"
    await 15 curl -sf "http://$ip:7201/api/readiness" || finish 2 "instance $1 was not ready"
}
