#!/usr/bin/env bash
# Case 2. Two requesters prepare statements whose shapes are "fee" and "fee due" (with TROUBLE=0 "fee" and "fee-due").
# Exit code: 1 if a backend commits a write that is not what its requester prepared and sent, 0 if not, 2 if not run.
set -uo pipefail
export TROUBLE=${TROUBLE:-1} # 0: the same without the disruption
here=$(cd "$(dirname "$0")" && pwd)
name=foreignshape
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
