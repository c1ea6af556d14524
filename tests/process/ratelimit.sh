#!/usr/bin/env bash
# Guards against real processes that count each other's operations not at all or twice: the requests between instances
# pass the line protocol and real connections here.
# shellcheck source=tools/lib/entries.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/entries.sh"

# start_peer NAME NUMBER: as start_entry, with an address for other instances.
start_peer() {
    start_entry "$1" "$2" "Ip: \"$statement_network.1$2\"" "PortRange: [7210, 7219]"
}

# put_limits VERSION: as put_routes, with two organisations; acme may run 10 operations per second.
put_limits() {
    curl -sf "http://$store_address/api/objects/config" | jq -c --argjson version "$1" '
        .items[0] | {meta: {Name: "main"}, spec: (.spec | .Version = $version | .Tenants = [
            {Name: "acme", ApiKeys: ["key-acme"], Priority: 1, RatePerS: 10, Burst: 0},
            {Name: "free", ApiKeys: ["key-free"], Priority: 1}])}' \
        | curl -sf -X PUT -H 'Content-Type: application/json' --data-binary @- \
            "http://$store_address/api/objects/config/main" >/dev/null
}

# read_of NUMBER KEY: runs one read in a session of its own, on the database lookups.
read_of() {
    open_with_key "$1" lookups "$2" || return 1
    statement "r-$RANDOM$RANDOM" "READ item" || true
    close_session
    [[ $answer == *DONE*READY* ]]
}

metric() {
    curl -sf "http://$statement_network.1$1:7201/metrics" | awk -v name="$2" '$1 == name {print $2}'
}

step="start"
start_statement_platform
start_peer first 1
start_peer second 2
write_until_done 1 filings warm || fail "no write was acknowledged: $answer"

step="limits"
put_limits 2 || fail "the configuration was not accepted"
wait_until 20 read_of 1 key-acme || fail "no read of the limited organisation: $answer"
wait_until 20 read_of 2 key-acme || fail "no read through the second instance: $answer"
sleep 3

step="an organisation above its limit, through both instances"
done_count=0
refused_count=0
end=$((SECONDS + 5))
while ((SECONDS < end)); do
    for instance in 1 2; do
        if read_of "$instance" key-acme; then
            done_count=$((done_count + 1))
        else
            [[ $answer == "ERROR OVERLOAD "*"retry after "*" ms | READY I -" ]] || fail "answer: $answer"
            refused_count=$((refused_count + 1))
        fi
    done
done
# (10 x 5 + 0) x 1.1 + 20, for up to 6 s.
((done_count <= 86)) || fail "$done_count operations ran, $refused_count were refused"
((done_count >= 20)) || fail "only $done_count operations ran, $refused_count were refused"
((refused_count > 0)) || fail "nothing was refused; $done_count operations ran"

step="another organisation meanwhile"
for _ in 1 2 3 4 5; do
    read_of 1 key-free || fail "an organisation without a limit: $answer"
done

step="counters"
(($(metric 1 jujubekeel_pool_rate_requests_total) > 0)) || fail "the first instance sent no request"
(($(metric 2 jujubekeel_pool_rate_requests_total) > 0)) || fail "the second instance sent no request"
grep -q '"rate-limited"' "$work"/first.log || fail "no log line about refused operations"
if grep -q 'key-acme' "$work"/*.log; then fail "a key was logged"; fi
