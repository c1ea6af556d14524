# Shared by the tests with real processes, which run a fleet with the settings of examples/association. The tests wait
# for conditions with long time limits and do not assert timing.
set -euo pipefail

source=${JUJUBEKEEL_SOURCE_DIR:?}
build=${JUJUBEKEEL_BINARY_DIR:?}
work=$(mktemp -d)
# shellcheck source=tools/lib/fleet.sh
. "$source/tools/lib/fleet.sh"
trap report_and_stop EXIT

user=association
database=stall-records-1

# Starts the fleet, applies the example rules and waits until every instance serves.
start_test_fleet() {
    local instance
    step="start"
    start_user "$user" 3 20
    ctl apply "$work/$user/rules.txt" --settings "$work/$user/fleet.yaml" --author test --wait >/dev/null \
        || fail "the rules were not accepted everywhere"
    for instance in $(instances_of "$user"); do
        wait_until 30 serves_reads "$user" "$instance" "$database" || fail "$instance serves no reads"
    done
}

# append_entry INSTANCE ENTRY: repeats a write until the answer is ok. All attempts have the same request key, so that
# the entry is appended only once.
append_entry() {
    try_append() {
        answer=$(request "$user" "$1" "$database" write filing.create "append ledger $2" -H "Request-Key: key-$2")
        [ "$(json_field code <<<"$answer")" = 0 ]
    }
    wait_until 60 try_append "$1" "$2" || fail "entry $2 was not written through $1, last answer: $answer"
}

# expect_ledger INSTANCE ENTRIES: checks that a session other than the writer's reads exactly these entries.
expect_ledger() {
    read_ledger() {
        answer=$(request "$user" "$1" "$database" read exact.ledger "get ledger" -H "Session-Id: other-session")
        [ "$(json_field code <<<"$answer")" = 0 ]
    }
    wait_until 60 read_ledger "$1" || fail "the ledger was not read through $1, last answer: $answer"
    [ "$(json_field value <<<"$answer")" = "$2" ] || fail "ledger is $(json_field value <<<"$answer"), expected $2"
}

# primary_owner INSTANCE: prints the instance that owns the connections to the primary.
primary_owner() {
    request "$user" "$1" "$database" write filing.create "put probe owner" | json_field owner
}

# other_instance INSTANCE: prints an instance other than the given one.
other_instance() {
    instances_of "$user" | grep -vx "$1" | head -1
}
