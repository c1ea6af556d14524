#!/usr/bin/env bash
# Guards against a proxy that is paused, loses its ownership, and still executes or acknowledges writes after it
# resumes: writes through the other proxies must succeed, and no entry may be lost or duplicated.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="pause the owner of the primary"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
owner=$(primary_owner "$first")
other=$(other_instance "$owner")
kill -STOP "${fleet_pid_of[$owner]}"
append_entry "$other" two

step="resume the paused proxy"
kill -CONT "${fleet_pid_of[$owner]}"
append_entry "$owner" three
expect_ledger "$owner" "one,two,three"
expect_ledger "$other" "one,two,three"
