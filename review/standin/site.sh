# Functions of the scripts of the cases: start the stand-in of the platform and the entry instances with the commands of
# the deploy file, and end them. Sourced by run.sh, which sets `here` and `name`.

top=$(cd "$here/../.." && pwd)
trouble=$TROUBLE
work=$(mktemp -d)
pids=()

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

# cannot_run TEXT: ends with the code of a case that could not run.
cannot_run() {
    echo "not run: $*" | tee -a "$here/record.txt"
    tail -n 3 "$work"/*.log 2>/dev/null | cut -c1-300
    exit 2
}

# start_site ENTRIES: starts the case's stand-in; sets: site_pid, store, ports (of the entry instances).
start_site() {
    [ -x "$top/target/bin/jujubekeel-entry" ] || cannot_run "target/bin/jujubekeel-entry is missing"
    [ -x "$top/target/review/$name" ] || cannot_run "target/review/$name is missing: run review/build.sh"
    : >"$here/record.txt"
    "$top/target/review/$name" "$here/record.txt" "$trouble" "$1" >"$work/site" 2>"$work/site.log" &
    site_pid=$!
    pids+=("$site_pid")
    local attempt
    for attempt in $(seq 100); do
        grep -q '^end' "$work/site" && break
        sleep 0.05
    done
    store=$(awk '$1 == "store" {print $2}' "$work/site")
    [ -n "$store" ] || cannot_run "the stand-in did not start"
    mapfile -t ports < <(sed -n 's/^entry //p' "$work/site")
}

# write_settings NUMBER BOOTSTRAP: writes the settings of an entry instance, with the figures of a small site.
write_settings() {
    local zones=(pos-central sando-main arima-town) regions=(north south east) port
    read -ra port <<<"${ports[$1]}"
    cat >"$work/entry-$1.yaml" <<SETTINGS
NodeName: "front-$1"
Role: "entry"
MachineClass: "front"
Serves: ["front"]
Ip: "127.0.0.1"
Zone: "${zones[$(($1 % 3))]}"
Region: "${regions[$(($1 % 3))]}"
Zones: { pos-central: "north", sando-main: "south", arima-town: "east" }
Listen: { Front: "127.0.0.1:${port[0]}", ReadyAddr: "127.0.0.1:${port[1]}", ControlAddr: "127.0.0.1:${port[2]}" }
PortRange: [${port[3]}, ${port[3]}]
Seeds: []
Bootstrap: $2
Limits: { CpuShare: 0.25, Cores: 1, MemoryMb: 260, MaxFds: 4300, LinkMbps: 1000.0, DiskMb: 0 }
DataDir: null
HeartbeatMs: 1200
Bounds: { StableWindowMs: 4000, DrainMs: 7000, GraceS: 6, LossSlackMs: 200, ConfigApplyMs: 3000, RecoveryS: 12, Fencing: false, ThawMs: 300 }
platform: { Address: "$store", form: "objects", WritesPerS: 400, ReadsPerS: 2000, HistoryS: 20, ValueBytes: 1048576 }
CloudApi: { Address: "$store", RatePerS: 50.0, Duties: ["promotion"], DutyPerS: 50.0 }
SETTINGS
}

# start_entry NUMBER BOOTSTRAP: starts an entry instance; sets: entry_pid[NUMBER].
start_entry() {
    write_settings "$1" "$2"
    (cd "$top" && exec env JUJUBEKEEL_SETTINGS="$work/entry-$1.yaml" target/bin/jujubekeel-entry) >>"$work/entry-$1.log" 2>&1 &
    entry_pid[$1]=$!
    pids+=("${entry_pid[$1]}")
}

# http_get ADDRESS PATH: succeeds if the answer is 200.
http_get() {
    local status=""
    exec 9<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf 'GET %s HTTP/1.1\r\nHost: site\r\nConnection: close\r\n\r\n' "$2" >&9
    IFS= read -r -t 2 -u 9 status || true
    exec 9>&-
    [[ $status == *" 200 "* ]]
}

# await_entries SECONDS: waits until all entry instances are ready; fails after the given time.
await_entries() {
    local end=$((SECONDS + $1)) number port
    for number in "${!ports[@]}"; do
        read -ra port <<<"${ports[$number]}"
        until http_get "127.0.0.1:${port[1]}" /api/readiness 2>/dev/null; do
            [ $SECONDS -lt $end ] || return 1
            sleep 0.05
        done
    done
}

# tell NAME: tells the stand-in how far the script is.
tell() {
    http_get "$store" "/control/$1" || true
}

# end_with_verdict: waits for the stand-in's verdict and ends with its code.
end_with_verdict() {
    local code=0
    wait "$site_pid" || code=$?
    grep '^verdict' "$work/site" || true
    [ -z "${KEEP_LOGS:-}" ] || { mkdir -p "$KEEP_LOGS" && cp "$work"/* "$KEEP_LOGS"/; }
    case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
}
