#!/usr/bin/env bash
# Guards against backend servers that stay unavailable after the proxy that owns them was killed: another proxy must
# take over, entries written before must be kept, and a write repeated with the same key must be applied only once.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="kill the owner of the primary"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
owner=$(primary_owner "$first")
kill_process "$owner"
other=$(other_instance "$owner")

step="repeat through another proxy"
append_entry "$other" one
append_entry "$other" two
expect_ledger "$other" "one,two"

step="restart the killed proxy"
start_proxy "$user" "$owner"
wait_until 60 serves_reads "$user" "$owner" "$database" || fail "$owner serves no reads after its restart"
append_entry "$owner" three
expect_ledger "$owner" "one,two,three"
