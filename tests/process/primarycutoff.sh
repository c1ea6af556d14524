#!/usr/bin/env bash
# Guards against acknowledging writes of a primary that is cut off from its group but still accepts connections, and
# against connections that go silent: both servers are replaced, and nothing acknowledged is lost.
. "$(dirname "$0")/common.sh"
start_test_fleet

# fault SERVER JSON
fault() {
    local address
    address=$(backend_servers "$user" | awk -v name="$1" '$2 == name {print $3}')
    curl -sf -X POST -d "$2" "http://$address/v1/fault" >/dev/null || fail "fault of $1 refused"
}

step="cut the primary off from its group"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
primary=$(json_field backend <<<"$answer")
others=$(backend_servers "$user" | awk -v database="$database" -v name="$primary" '$1 == database && $2 != name {print $2}')
fault "$primary" "$(jq -nc --arg names "$others" '{cut_from: ($names | split("\n"))}')"
for other in $others; do
    fault "$other" "{\"cut_from\":[\"$primary\"]}"
done
append_entry "$first" two
[ "$(json_field backend <<<"$answer")" != "$primary" ] || fail "$primary acknowledged a write without its group"
expect_ledger "$(other_instance "$first")" "one,two"

step="heal the cut, then let the new primary go silent"
for server in $primary $others; do
    fault "$server" '{"cut_from":[]}'
done
append_entry "$first" three
silent=$(json_field backend <<<"$answer")
fault "$silent" '{"frozen":true}'
append_entry "$first" four
[ "$(json_field backend <<<"$answer")" != "$silent" ] || fail "the silent server answered"
expect_ledger "$(other_instance "$first")" "one,two,three,four"
