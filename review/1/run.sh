#!/usr/bin/env bash
# Case 1. The primary crashes; the process that replaces it is killed right after its call to promote, and starts again.
# Exit code: 1 if a write is acknowledged that an old primary committed after a promote took effect, 0 if none, 2 if not
# run.
set -uo pipefail
export TROUBLE=${TROUBLE:-1} # 0: the same without the disruption
here=$(cd "$(dirname "$0")" && pwd)
name=twoprimaries
# shellcheck source=review/standin/site.sh
. "$here/../standin/site.sh"

start_site 6
for number in 0 1 2 3 4 5; do
    start_entry $number true
done
await_entries 20 || cannot_run "the entry instances were not ready within 20 s"
sleep 1
tell start
if [ "$trouble" != 0 ]; then
    for attempt in $(seq 1000); do
        holder=$(sed -n 's/^holder front-//p' "$work/site" | head -1)
        [ -z "$holder" ] || break
        sleep 0.02
    done
    [ -n "$holder" ] || cannot_run "nothing was promoted"
    kill -KILL "${entry_pid[$holder]}"
    wait "${entry_pid[$holder]}" 2>/dev/null
    sleep 1
    tell killed
    start_entry "$holder" false
fi
end_with_verdict
