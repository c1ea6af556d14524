# Functions that start and stop a fleet of real processes on loopback addresses: fakes of the platform and the backend
# servers, and the proxies of one user's example settings. Sourced by tools/demo, tools/measure-daemon and the tests in
# tests/process.
#
# Expects: source (checkout), build (build directory), work (scratch directory, removed by stop_fleet).

fleet_pids=()
declare -A fleet_pid_of

# fail MESSAGE...: prints the failed step and the message, and exits with code 1.
fail() {
    echo "FAILED in step \"${step:-start}\": $*" >&2
    exit 1
}

# Kills every process that was started by start_process and removes the scratch directory. Planned stops have their own
# steps.
stop_fleet() {
    local pid
    for pid in "${fleet_pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    fleet_pids=()
    [ -z "${work:-}" ] || rm -rf "$work"
}

# report_and_stop: EXIT trap of the tests. After a failure prints the processes that have ended and the last log lines
# of all, then calls stop_fleet.
report_and_stop() {
    local status=$? name
    if [ $status -ne 0 ]; then
        for name in "${!fleet_pid_of[@]}"; do
            kill -0 "${fleet_pid_of[$name]}" 2>/dev/null || echo "$name (process ${fleet_pid_of[$name]}) has ended:" >&2
            tail -n 4 "$work/$name.log" 2>/dev/null | cut -c1-400 >&2 || true
        done
    fi
    stop_fleet
    exit $status
}

# start_process NAME COMMAND...: starts a process in the background with its output in a log file, or in the one that the
# variable process_output names.
start_process() {
    local name=$1
    shift
    "$@" >"${process_output:-$work/$name.log}" 2>&1 &
    fleet_pid_of[$name]=$!
    fleet_pids+=($!)
}

# kill_process NAME: kills a process and waits for its end, after which its addresses can be used again.
kill_process() {
    kill -KILL "${fleet_pid_of[$1]}"
    wait "${fleet_pid_of[$1]}" 2>/dev/null || true
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails after the given time.
wait_until() {
    local limit=$1 end
    shift
    end=$((SECONDS + limit))
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -lt $end ] || return 1
        sleep 0.05
    done
}

# Prints the wall-clock time in milliseconds.
now_ms() {
    local time=${EPOCHREALTIME/[.,]/}
    echo $((time / 1000))
}

# json_field NAME: prints the first field of that name, at any depth of the JSON document on standard input. Strings are
# printed without quotation marks.
json_field() {
    jq -r --arg name "$1" '[.. | objects | select(has($name)) | .[$name]][0] // empty'
}

# prepare_settings USER: copies the user's example settings and replaces their addresses by loopback addresses.
prepare_settings() {
    local user=$1 network
    network="127.$((RANDOM % 200 + 20))"
    cp -r "$source/examples/$user" "$work/$user"
    sed -i -E "s/\b10\.[0-9]+\.([0-9]+\.[0-9]+)/$network.\1/g" "$work/$user"/*.yaml
}

# platform_address USER: prints the address of the platform.
platform_address() {
    sed -n '/^platform:/,/^[a-z]/s/^ *address: *"\?\([0-9.:]*\).*/\1/p' "$work/$1/fleet.yaml" | head -1
}

# backend_servers USER: prints a line "database name address" for each backend server, grouped by database.
backend_servers() {
    awk '/^databases:/ {inside = 1; next} /^[a-z]/ {inside = 0}
         inside && /- name:/ {database = $3}
         inside && /{ *name:/ {
             match($0, /name: *[^,]+/); name = substr($0, RSTART + 5, RLENGTH - 5); gsub(/ /, "", name)
             match($0, /address: *"?[0-9.:]+/); address = substr($0, RSTART + 8, RLENGTH - 8); gsub(/[ "]/, "", address)
             print database, name, address
         }' "$work/$1/fleet.yaml"
}

# instance_address USER INSTANCE KIND: prints an address of an instance; KIND is caller, peer or operator.
instance_address() {
    awk -v instance="$2" -v kind="$3_address:" '
        /- name:/ {current = $3} current == instance && $1 == kind {gsub(/"/, "", $2); print $2; exit}' \
        "$work/$1/fleet.yaml"
}

# instances_of USER: prints the names of all instances, one per line.
instances_of() {
    awk '/^instances:/ {inside = 1; next} /^[a-z]/ {inside = 0} inside && /- name:/ {print $3}' "$work/$1/fleet.yaml"
}

# start_user USER SLOTS CONNECTIONS: starts the fakes and the proxies of a user and waits until all proxies answer.
# SLOTS and CONNECTIONS are the limits of each backend server.
start_user() {
    local user=$1 slots=$2 connections=$3 database name address instance
    prepare_settings "$user"

    # The fake platform, with all instances listed.
    local listed=()
    for instance in $(instances_of "$user"); do
        listed+=("--instance=$instance")
    done
    start_process "$user-platform" "$build/bin/fake-platform" --listen="$(platform_address "$user")" "${listed[@]}"

    # The fake backend servers; the first server of each database is the primary of term 1.
    local databases
    databases=$(backend_servers "$user" | cut -d' ' -f1 | uniq)
    for database in $databases; do
        local rows group first peers
        rows=$(backend_servers "$user" | awk -v database="$database" '$1 == database')
        group=$(cut -d' ' -f2 <<<"$rows" | paste -sd,)
        first=${group%%,*}
        while read -r _ name address; do
            peers=()
            local other other_address
            while read -r _ other other_address; do
                [ "$other" = "$name" ] || peers+=("--peer=$other@$other_address")
            done <<<"$rows"
            start_process "$name" "$build/bin/fake-backend" --name="$name" --group="$group" --first-primary="$first" \
                --listen="$address" --slots="$slots" --connection-limit="$connections" "${peers[@]}"
        done <<<"$rows"
    done

    for instance in $(instances_of "$user"); do
        start_proxy "$user" "$instance"
    done
    for instance in $(instances_of "$user"); do
        wait_until 20 curl -sf "http://$(instance_address "$user" "$instance" caller)/v1/health" \
            || fail "instance $instance did not answer within 20 s"
    done
}

# start_proxy USER INSTANCE: starts one proxy; its process has the name of the instance.
start_proxy() {
    start_process "$2" "$build/bin/jujubekeel-proxy" --settings "$work/$1/$2.yaml"
}

# ctl ARGUMENTS...: runs the operator program jujubekeel-ctl.
ctl() {
    "$build/bin/jujubekeel-ctl" "$@"
}

# request USER INSTANCE DATABASE KIND OPERATION STATEMENT [curl options...]: sends a request and prints the JSON answer.
request() {
    local user=$1 instance=$2 database=$3 kind=$4 operation=$5 statement=$6
    shift 6
    jq -nc --arg kind "$kind" --arg operation "$operation" --arg statement "$statement" \
        '{kind: $kind, operation: $operation, statement: $statement, timeout_ms: 5000}' \
        | curl -s --max-time 20 -H 'Content-Type: application/json' "$@" --data-binary @- \
            "http://$(instance_address "$user" "$instance" caller)/v1/databases/$database/requests"
}

# serves_reads USER INSTANCE DATABASE: succeeds if a read through the instance succeeds.
serves_reads() {
    [ "$(request "$1" "$2" "$3" read probe 'get probe' | json_field code)" = 0 ]
}
