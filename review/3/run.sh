#!/usr/bin/env bash
# Case 3. A replica receives nothing for a while and the primary crashes meanwhile, in a service with SyncReplicas 1.
# Exit code: 1 if an acknowledged write is not in the log of the backend that was promoted, 0 if all are, 2 if not run.
set -uo pipefail
export TROUBLE=${TROUBLE:-1} # 0: the same without the disruption
here=$(cd "$(dirname "$0")" && pwd)
name=promotionbehind
# shellcheck source=review/standin/site.sh
. "$here/../standin/site.sh"

start_site 3
for number in 0 1 2; do
    start_entry $number true
done
await_entries 20 || cannot_run "the entry instances were not ready within 20 s"
sleep 1
tell start
end_with_verdict
