#!/usr/bin/env bash
# Guards against a process that stands still, grows or does not end because nobody reads its log: its standard output is
# a full pipe from the start.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"
step="pipe"
mkfifo "$work/pipe"
exec 9<>"$work/pipe"
# Fills the pipe; a write that would block ends the program.
timeout 2 dd if=/dev/zero of="$work/pipe" oflag=nonblock bs=4096 count=100000 2>/dev/null || true
start_statement_platform
process_output="$work/pipe"
start_crowd_entry
process_output=""

step="crowd"
crowd --connections=300 --start="CONNECT filings caller" --limit-ms=3000
watch_crowd
check_target

step="planned stop"
kill -TERM "${fleet_pid_of[target]}"
has_ended() {
    ! kill -0 "${fleet_pid_of[target]}"
}
wait_until 30 has_ended || fail "the process did not end"
wait "${fleet_pid_of[target]}" || fail "exit code $?"
