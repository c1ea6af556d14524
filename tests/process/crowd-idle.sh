#!/usr/bin/env bash
# Guards against a machine of the smallest size, 160 MB, that cannot hold the largest number of sessions: 4,000 idle
# sessions, and then a crowd that sends large statements, one that reads no replies, and one ordinary request beside them.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"
memory_limit_mb=160
descriptor_limit=4600
entry_settings="Limits: { MemoryMb: $memory_limit_mb, MaxFds: $descriptor_limit, MessageMs: 2000, OutputMs: 2000, PressureMs: 1000 }"
ulimit -n 8192
start_crowd_target

open_sessions() {
    curl -sf "http://$statement_network.11:7201/metrics" | awk '$1 == "jujubekeel_pool_sessions" {print $2}'
}
has_sessions() {
    [ "$(open_sessions)" -ge "$1" ]
}

step="4,000 idle sessions"
idle_pids=()
for _ in 1 2 3 4 5 6 7 8 9 10; do
    crowd --connections=400 --start="CONNECT filings caller" --message="QUERY m READ item" --limit-ms=30000
    idle_pids+=("$crowd_pid")
done
# One place is needed for the ordinary request.
wait_until 20 has_sessions 4000 || fail "$(open_sessions) sessions are open"
for pid in "${idle_pids[@]:1}"; do
    kill -0 "$pid" || fail "an idle crowd has ended"
done
kill -TERM "${idle_pids[0]}"
wait_until 20 eval '! has_sessions 3601' || fail "the places were not given back"
check_target

step="large statements beside 3,600 idle sessions"
crowd --connections=180 --start="CONNECT filings caller" --message="QUERY m WRITE item " --fill-bytes=900000 --messages=4 \
    --limit-ms=4000
watch_crowd
check_target

step="replies that are not read beside 3,600 idle sessions"
crowd --connections=180 --start="CONNECT filings caller" --value-bytes=200000 --message="QUERY m READ item" --messages=40 \
    --no-reading --limit-ms=4000
watch_crowd
check_target
has_sessions 3590 || fail "idle sessions were closed: $(open_sessions) are open"
