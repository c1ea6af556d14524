#!/usr/bin/env bash
# Guards against acknowledged writes at a primary that is isolated from its group but still accepts connections, and
# against waiting forever for a server that stops answering. Both servers must be replaced without losing an
# acknowledged write.
. "$(dirname "$0")/common.sh"
start_test_fleet

# fault SERVER JSON
fault() {
    local address
    address=$(backend_servers "$user" | awk -v name="$1" '$2 == name {print $3}')
    curl -sf -X POST -d "$2" "http://$address/v1/fault" >/dev/null || fail "the fault was not set at $1"
}

step="isolate the primary from its group"
first=$(instances_of "$user" | head -1)
append_entry "$first" one
primary=$(json_field backend <<<"$answer")
others=$(backend_servers "$user" | awk -v database="$database" -v name="$primary" '$1 == database && $2 != name {print $2}')
fault "$primary" "$(jq -nc --arg names "$others" '{cut_from: ($names | split("\n"))}')"
for other in $others; do
    fault "$other" "{\"cut_from\":[\"$primary\"]}"
done
append_entry "$first" two
[ "$(json_field backend <<<"$answer")" != "$primary" ] || fail "the isolated $primary acknowledged a write"
expect_ledger "$(other_instance "$first")" "one,two"

step="end the isolation, then freeze the new primary"
for server in $primary $others; do
    fault "$server" '{"cut_from":[]}'
done
append_entry "$first" three
frozen=$(json_field backend <<<"$answer")
fault "$frozen" '{"frozen":true}'
append_entry "$first" four
[ "$(json_field backend <<<"$answer")" != "$frozen" ] || fail "the frozen server $frozen answered"
expect_ledger "$(other_instance "$first")" "one,two,three,four"
