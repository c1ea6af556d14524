#!/usr/bin/env bash
# Guards against an owner that was paused and wakes acknowledging or executing what it may not: writes go on through the
# other proxies, and after it resumes nothing is lost or doubled.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="pause the owner of the primary"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
owner=$(primary_owner "$first")
other=$(other_instance "$owner")
kill -STOP "${fleet_pid_of[$owner]}"
append_entry "$other" two

step="resume it"
kill -CONT "${fleet_pid_of[$owner]}"
append_entry "$owner" three
expect_ledger "$owner" "one,two,three"
expect_ledger "$other" "one,two,three"
