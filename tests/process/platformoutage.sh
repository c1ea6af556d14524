#!/usr/bin/env bash
# Guards against requests or promotions that depend on the platform: while the platform is down, writes must succeed, a
# killed primary must be replaced, and a restarted proxy must receive the rules from its peers.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="platform outage"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
curl -sf -X POST -d '{"down":true}' "http://$(platform_address "$user")/v1/fault" >/dev/null || fail "the outage was not started"
append_entry "$first" two

step="primary killed during the outage"
primary=$(json_field backend <<<"$answer")
kill -KILL "${fleet_pid_of[$primary]}"
append_entry "$first" three
expect_ledger "$(other_instance "$first")" "one,two,three"

step="proxy restarted during the outage"
kill_process "$first"
start_proxy "$user" "$first"
wait_until 60 serves_reads "$user" "$first" "$database" || fail "$first did not get the rules from its peers"

step="end of the outage"
curl -sf -X POST -d '{"down":false}' "http://$(platform_address "$user")/v1/fault" >/dev/null || fail "the outage was not ended"
append_entry "$first" four
expect_ledger "$first" "one,two,three,four"
