# shellcheck shell=bash
# shellcheck disable=SC2034,SC2154  # variables shared with the other files of functions
# Functions of the tests with clients that exceed the limits (tests/process/crowd-*.sh). They start entry instances
# with lowered limits, run a crowd of such clients against it, and check that the process lives, that its memory and its
# descriptors stay under a bound, and that one ordinary request is answered. Nothing here checks times.
# shellcheck source=tools/lib/entries.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/entries.sh"

# The limits of the entry instance. Crowds and bounds were fixed on the code without limits for such clients, where each
# of these tests failed.
memory_limit_mb=64
descriptor_limit=200
entry_settings="Limits: { MemoryMb: $memory_limit_mb, MaxFds: $descriptor_limit, GreetingMs: 1000, MessageMs: 2000,
          OutputMs: 2000, PressureMs: 1000 }"

# Largest number of descriptors seen at the entry instance.
descriptors_seen=0

# Instances that are observed: the one of start_crowd_target, or those of start_crowd_fleet.
crowd_targets=()
# Number of the instance that ordinary requests go to.
ordinary_number=1

# start_crowd_target: starts the fake platform and the entry instance, which serves one ordinary request.
start_crowd_target() {
    step="start"
    start_statement_platform
    start_crowd_entry
}

# start_crowd_entry: starts the entry instance alone.
start_crowd_entry() {
    start_entry target 1
    crowd_targets=(target)
    write_until_done 1 filings calm || fail "no write was acknowledged before the crowd: $answer"
}

# start_crowd_fleet COUNT: starts the fake platform and this many entry instances, instance-1 and so on, which relay work
# to each other. Fleets of more than nine have relaying instances; sets: relaying_number, member_number.
start_crowd_fleet() {
    local number limits=$entry_settings members
    step="start"
    start_statement_platform
    for ((number = 1; number <= $1; ++number)); do
        entry_settings="Ip: \"$statement_network.1$number\"
PortRange: [7210, 7219]
$limits"
        start_entry "instance-$number" "$number"
        crowd_targets+=("instance-$number")
    done
    finds_relaying_instance() {
        members=$(curl -sf "http://$store_address/api/objects/jujubekeel" | jq -r '.items[].meta.Name')
        member_number="" relaying_number=""
        for ((number = 1; number <= $1; ++number)); do
            if grep -qx "member.instance-$number" <<<"$members"; then
                member_number=$number
            else
                relaying_number=$number
            fi
        done
        [ -n "$member_number" ] && [ -n "$relaying_number" ]
    }
    wait_until 30 finds_relaying_instance "$1" || fail "no instance relays; members: $members"
    ordinary_number=$relaying_number
    write_until_done "$relaying_number" filings calm || fail "no write was acknowledged before the crowd: $answer"
}

# crowd OPTIONS...: runs a crowd against the callers' port in the background.
crowd() {
    crowd_at "$statement_network.11:7200" "$@"
}

# crowd_at ADDRESS OPTIONS...: the same against another port of the instance.
crowd_at() {
    "$build/bin/crowd-client" --address="$1" "${@:2}" >>"$work/crowd.log" 2>&1 &
    crowd_pid=$!
    fleet_pids+=("$crowd_pid")
}

# watch_crowd: observes the entry instances until the crowd has ended.
watch_crowd() {
    local seen name
    while kill -0 "$crowd_pid" 2>/dev/null; do
        for name in "${crowd_targets[@]}"; do
            seen=$(find "/proc/${fleet_pid_of[$name]}/fd" -mindepth 1 2>/dev/null | wc -l)
            [ "$seen" -le "$descriptors_seen" ] || descriptors_seen=$seen
        done
        sleep 0.1
    done
    wait "$crowd_pid" || fail "the crowd's program failed: $(cat "$work/crowd.log")"
}

# memory_mb FIELD NAME: prints a field of an entry instance's memory in MB: VmHWM (peak) or VmRSS (now).
memory_mb() {
    awk -v field="$1:" '$1 == field {print int($2 / 1024)}' "/proc/${fleet_pid_of[$2]}/status"
}

# check_target: the processes live within their bounds and answer an ordinary request.
check_target() {
    local name peaks="" above=""
    step="after ${step:-the crowd}"
    for name in "${crowd_targets[@]}"; do
        kill -0 "${fleet_pid_of[$name]}" 2>/dev/null || fail "the entry instance $name has ended"
        peaks+="$(memory_mb VmHWM "$name") ($(memory_mb VmRSS "$name")) "
        [ "$(memory_mb VmHWM "$name")" -le "$memory_limit_mb" ] || above+="$name "
    done
    echo "$step: peak memory (memory now) in MB: ${peaks}descriptors $descriptors_seen," \
        "crowd $(tail -n 1 "$work/crowd.log" 2>/dev/null || echo none)"
    [ -z "$above" ] || fail "peak memory above $memory_limit_mb MB: $above"
    [ "$descriptors_seen" -le "$descriptor_limit" ] || fail "$descriptors_seen descriptors, limit $descriptor_limit"
    check_ordinary_request
}

# check_ordinary_request: one new session runs one write.
check_ordinary_request() {
    write_until_done "$ordinary_number" filings "ordinary-$RANDOM" || fail "no write was acknowledged: ${answer:-}"
}
