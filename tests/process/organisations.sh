#!/usr/bin/env bash
# Guards against the daemon serving callers whose key is unknown or withdrawn, opening connections in another name than
# that of the caller's organisation, or writing a key to a log or to a server.
# shellcheck source=tools/lib/entries.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/entries.sh"

# Part of each key, to be looked for where no key may be.
mark=k3ysecret
guild="{\"Name\": \"guild\", \"ApiKeys\": [\"$mark-guild\"]}"
parish="{\"Name\": \"parish\", \"ApiKeys\": [\"$mark-parish\"]}"

# put_tenants VERSION TENANTS: writes a configuration with these organisations; the database "notices" is public.
put_tenants() {
    jq -nc --argjson version "$1" --argjson tenants "$2" '
        {meta: {Name: "main"}, spec: {Version: $version, Tenants: $tenants,
         Routes: [("filings", "notices") | {Name: ("route-" + .), Host: ., PathPrefix: "/", Service: "records",
                  Kind: "read_your_writes", TimeoutMs: 1000, GoalMs: 500, Priority: 1, MaxStalenessMs: 1500,
                  Public: (. == "notices")}],
         Services: [{Name: "records", MaxConns: 21, SyncReplicas: 0}], Limits: {TxIdleMs: 3000}}}' \
        | curl -sf -X PUT -H 'Content-Type: application/json' --data-binary @- \
            "http://$store_address/api/objects/config/main" >/dev/null
}

# write_with_key NUMBER DATABASE ID [KEY]: repeats a write until it is acknowledged.
write_with_key() {
    local attempt=0
    try_write() {
        attempt=$((attempt + 1))
        open_with_key "$1" "$2" "${4:-}" || return 1
        statement "$3-$attempt" "WRITE item data" || true
        close_session
        [[ $answer == DONE* ]]
    }
    wait_until 60 try_write "$@"
}

# expect_denied NUMBER [KEY]
expect_denied() {
    if open_with_key "$1" filings "${2:-}"; then fail "instance $1 opened a session: $answer"; fi
    [[ $answer == "ERROR DENIED"* ]] || fail "answer of instance $1: $answer"
    close_session
}

is_denied() {
    ! open_with_key "$1" filings "$2" && [[ $answer == "ERROR DENIED"* ]]
}

# opened_in_name NAME: whether a server has seen a connection in this name.
opened_in_name() {
    grep -q "\"connection-opened\".*\"name\":\"$1\"" "$work/statement-platform.log"
}

# expect_no_key_in_logs: checks the logs since the last start of each process.
expect_no_key_in_logs() {
    grep -q caller-denied "$work/first.log" || fail "no log line names the refusal"
    if grep -l "$mark" "$work"/*.log; then fail "a key was written to these logs"; fi
}

step="start"
start_statement_platform
put_tenants 2 "[$guild, $parish]" || fail "the configuration was not accepted"
start_entries first second

step="unknown keys"
for instance in 1 2; do
    expect_denied "$instance" "$mark-unknown"
    expect_denied "$instance"
done

step="known keys"
write_with_key 1 filings warm "$mark-guild" || fail "no write with a known key: $answer"
opened_in_name guild || fail "no connection was opened in the name of the organisation"
if opened_in_name parish; then fail "a connection was opened in the name of an organisation without work"; fi
write_with_key 2 filings other "$mark-parish" || fail "no write with a known key: $answer"
opened_in_name parish || fail "no connection was opened in the name of the organisation"
write_with_key 1 notices public || fail "no write through the public route: $answer"

step="withdrawn key"
open_with_key 1 filings "$mark-guild" || fail "no session: $answer"
statement t1 BEGIN || fail "begin: $answer"
statement t2 "WRITE item data" && [[ $answer == DONE*READY\ T* ]] || fail "write: $answer"
put_tenants 3 "[$parish]" || fail "the configuration was not accepted"
status=0
read -r -t 5 -u 5 rest || status=$?
[ "$status" = 1 ] || fail "the session was not closed within 5 s, status $status: ${rest:-}"
close_session
for instance in 1 2; do
    wait_until 5 is_denied "$instance" "$mark-guild" || fail "instance $instance still serves the key: $answer"
    write_with_key "$instance" filings "kept$instance" "$mark-parish" || fail "no write with the other key: $answer"
done

step="unreadable entry"
put_tenants 4 "[$parish, {\"Name\": \"abbey\", \"ApiKeys\": \"$mark-abbey\"}]" || fail "the configuration was not accepted"
wait_until 5 grep -q organisation-unreadable "$work/first.log" || fail "no log line names the unreadable entry"
expect_denied 1 "$mark-abbey"
write_with_key 1 filings readable "$mark-parish" || fail "no write with the other key: $answer"

step="restart of all instances"
expect_no_key_in_logs
kill_process first
kill_process second
start_entries first second
for instance in 1 2; do
    expect_denied "$instance" "$mark-guild"
    expect_denied "$instance" "$mark-unknown"
done
write_with_key 2 filings restarted "$mark-parish" || fail "no write after the restart: $answer"

step="end"
expect_no_key_in_logs
