# shellcheck shell=bash
# shellcheck disable=SC2034,SC2154  # variables shared with the other files of functions
# Functions of the tests with clients that exceed the limits (tests/process/crowd-*.sh). They start one entry instance
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

# start_crowd_target: starts the fake platform and the entry instance, which serves one ordinary request.
start_crowd_target() {
    start_platform_and_entries target
    target_pid=${fleet_pid_of[target]}
    write_until_done 1 filings calm || fail "no write was acknowledged before the crowd: $answer"
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

# watch_crowd: observes the entry instance until the crowd has ended.
watch_crowd() {
    local seen
    while kill -0 "$crowd_pid" 2>/dev/null; do
        seen=$(find "/proc/$target_pid/fd" -mindepth 1 2>/dev/null | wc -l)
        [ "$seen" -le "$descriptors_seen" ] || descriptors_seen=$seen
        sleep 0.1
    done
    wait "$crowd_pid" || fail "the crowd's program failed: $(cat "$work/crowd.log")"
}

# memory_mb FIELD: prints a field of the entry instance's memory in MB: VmHWM (peak) or VmRSS (now).
memory_mb() {
    awk -v field="$1:" '$1 == field {print int($2 / 1024)}' "/proc/$target_pid/status"
}

# check_target: the process lives within its bounds and answers an ordinary request.
check_target() {
    step="after the crowd"
    kill -0 "$target_pid" 2>/dev/null || fail "the entry instance has ended"
    echo "peak memory $(memory_mb VmHWM) MB, memory $(memory_mb VmRSS) MB, descriptors $descriptors_seen," \
        "crowd $(tail -n 1 "$work/crowd.log")"
    [ "$(memory_mb VmHWM)" -le "$memory_limit_mb" ] \
        || fail "peak memory $(memory_mb VmHWM) MB, limit $memory_limit_mb MB"
    [ "$descriptors_seen" -le "$descriptor_limit" ] || fail "$descriptors_seen descriptors, limit $descriptor_limit"
    check_ordinary_request
}

# check_ordinary_request: one new session runs one write.
check_ordinary_request() {
    write_until_done 1 filings "ordinary-$RANDOM" || fail "no write was acknowledged: ${answer:-}"
}
