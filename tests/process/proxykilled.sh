#!/usr/bin/env bash
# Guards against a killed owner taking its backend servers with it: another proxy takes over, an entry written before is
# kept, and a repetition with the same key through another proxy lands once.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="kill the owner of the primary"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
owner=$(primary_owner "$first")
kill -KILL "${fleet_pid_of[$owner]}"
other=$(other_instance "$owner")

step="repeat through another proxy"
append_entry "$other" one
append_entry "$other" two
expect_ledger "$other" "one,two"

step="restart the killed proxy"
start_proxy "$user" "$owner"
wait_until 60 serves_reads "$user" "$owner" "$database" || fail "$owner does not come back"
append_entry "$owner" three
expect_ledger "$owner" "one,two,three"
