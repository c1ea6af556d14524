#!/usr/bin/env bash
# Guards against real processes that stop serving when the platform's store returns from an older copy: configurations
# that are not in force, leases that expire, primaries that are not replaced any more.
# shellcheck source=tools/lib/entries.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/entries.sh"

start_platform_and_entries first second
write_until_done 1 filings warm || fail "no write was acknowledged: $answer"

step="changes after the copy"
server_fault '{"copy": true}'
server_fault '{"server": 0, "running": false}'
write_until_done 1 filings failover || fail "no write after the failover: $answer"
server_fault '{"server": 0, "running": true}'
put_routes 2 filings lookups orders || fail "the configuration was not accepted"
wait_until 20 write_until_done 2 orders new || fail "no write through the new route: $answer"

step="the store returns from the copy"
server_fault '{"down": true}'
server_fault '{"restore": true, "down": false}'
put_routes 3 filings lookups orders extra || fail "the configuration was not accepted"
write_until_done 1 extra restored || fail "no write through a route of after the restoration: $answer"
write_until_done 2 extra restored || fail "no write through the second instance: $answer"

step="killed primary"
server_entries() { curl -sf "http://$store_address/api/objects/servers"; }
all_listed() { [ "$(server_entries | jq '.items | length')" = 3 ]; }
wait_until 20 all_listed || fail "the servers did not write their entries again"
primary=$(server_entries | jq '[.items[].spec.DbRole] | index("primary")')
server_fault "{\"server\": $primary, \"running\": false}"
write_until_done 1 filings second || fail "no write after the second failover: $answer"

step="killed instance"
kill_process first
start_entry first 1
write_until_done 1 extra restarted || fail "no write through the restarted instance: $answer"

step="planned stop"
kill -TERM "${fleet_pid_of[second]}"
wait "${fleet_pid_of[second]}" || fail "second exited with code $? at the planned stop"
write_until_done 1 filings last || fail "no write after the planned stop: $answer"
