#!/usr/bin/env bash
# Case 5. An entry instance is stopped with SIGTERM while requesters read reports, each within its route's time-out.
# Exit code: 1 if a request that was passed on gets no answer, 0 if none, 2 if not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
name=cutatstop
# shellcheck source=review/standin/site.sh
. "$here/../standin/site.sh"

start_site 3
for number in 0 1 2; do
    start_entry $number true
done
await_entries 20 || cannot_run "the entry instances were not ready within 20 s"
sleep 1
tell start
sleep 12
if [ "$trouble" != 0 ]; then
    tell term
    kill -TERM "${entry_pid[0]}"
    wait "${entry_pid[0]}" 2>/dev/null
else
    sleep 6
fi
tell ended
end_with_verdict
