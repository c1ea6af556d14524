# Functions that run entry instances against the fake of the users' platform and send statements to them.
# Sourced after fleet.sh by tools/demo and by tests in tests/process.
#
# Expects: source, build, work and the functions of fleet.sh.

# First three octets of the loopback addresses of this run, chosen at random so that concurrent runs do not share
# addresses.
statement_network="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"

# put_routes VERSION DATABASES...: writes a configuration with one route for each database to the store.
put_routes() {
    local version=$1 method=PUT path=/api/objects/config/main
    shift
    curl -sf "http://$store_address/api/objects/config" | jq -e '.items | length > 0' >/dev/null \
        || { method=POST path=/api/objects/config; }
    jq -nc --argjson version "$version" --args '
        {meta: {Name: "main"}, spec: {Version: $version,
         Routes: [$ARGS.positional[] | {Name: ("route-" + .), Host: ., PathPrefix: "/", Service: "records",
                  Kind: (if . == "lookups" then "bounded_stale" else "read_your_writes" end),
                  TimeoutMs: 1000, GoalMs: 500, Priority: 1, MaxStalenessMs: 1500}],
         Services: [{Name: "records", MaxConns: 21, SyncReplicas: 0}], Limits: {TxIdleMs: 3000}}}' "$@" \
        | curl -sf -X "$method" -H 'Content-Type: application/json' --data-binary @- "http://$store_address$path" >/dev/null
}

# put_large_objects KIND COUNT BYTES: creates objects of one kind in the store.
put_large_objects() {
    local kind=$1 count=$2 bytes=$3 number
    for ((number = 1; number <= count; ++number)); do
        { printf '{"meta": {"Name": "large-%s"}, "spec": "' "$number"; head -c "$bytes" /dev/zero | tr '\0' x; printf '"}'; } \
            | curl -sf -X POST -H 'Content-Type: application/json' --data-binary @- \
                "http://$store_address/api/objects/$kind" >/dev/null || return 1
    done
}

# start_statement_platform: starts the fake platform with three backend servers and writes the first configuration.
start_statement_platform() {
    local network=$statement_network
    store_address="$network.1:7100"
    start_process statement-platform "$build/bin/fake-statement-platform" --store="$store_address" \
        --servers="$network.2:7100,$network.3:7100,$network.4:7100"
    wait_until 20 curl -sf "http://$store_address/api/objects/servers" || fail "the platform did not answer within 20 s"
    put_routes 1 filings lookups || fail "the configuration was not accepted"
}

# start_entry NAME NUMBER [LINES...]: starts an entry instance and waits until it is ready for callers. LINES and the
# variable entry_settings are further lines of its settings, the array entry_wrapper is a command that starts the program.
entry_wrapper=()
start_entry() {
    local name=$1 network="$statement_network.1$2"
    cat >"$work/$name.yaml" <<SETTINGS
NodeName: "$name"
Zone: "d0"
Region: "north"
Zones: { d0: "north", d1: "north", d2: "south" }
Listen: { Front: "$network:7200", ReadyAddr: "$network:7201", ControlAddr: "$network:7202" }
Bounds: { GraceS: 6 }
platform: { Address: "$store_address" }
CloudApi: { Address: "$store_address" }
${entry_settings:-}
SETTINGS
    [ $# -le 2 ] || printf '%s\n' "${@:3}" >>"$work/$name.yaml"
    start_process "$name" "${entry_wrapper[@]}" "$build/bin/jujubekeel-entry" --settings="$work/$name.yaml"
    wait_until 20 curl -sf "http://$network:7201/api/readiness" || fail "$name was not ready within 20 s"
}

# open_with_key NUMBER DATABASE [KEY]: connects file descriptor 5 to entry instance NUMBER and opens a session.
open_with_key() {
    exec 5<>"/dev/tcp/$statement_network.1$1/7200" || return 1
    printf 'CONNECT %s%s\r\n' "$2" "${3:+ $3}" >&5
    read_answer
}

# open_session NUMBER DATABASE: as open_with_key, with the key "caller".
open_session() {
    open_with_key "$1" "$2" caller
}

# close_session: ends the open session and closes file descriptor 5.
close_session() {
    printf 'BYE\r\n' >&5 2>/dev/null || true
    exec 5>&- || true
}

# read_answer: reads messages up to READY, or until the connection closes or is silent for 10 s; sets: answer. Succeeds
# only after READY.
read_answer() {
    local line
    answer=""
    while IFS= read -r -t 10 -u 5 line; do
        line=${line%$'\r'}
        answer+="${answer:+ | }$line"
        case $line in READY*) return 0 ;; esac
    done
    return 1
}

# statement ID TEXT: runs a statement in the open session; sets: answer.
statement() {
    printf 'QUERY %s %s\r\n' "$1" "$2" >&5
    read_answer
}

# write_until_done NUMBER DATABASE ID: repeats a write through an entry instance until it is acknowledged; each attempt
# has a new statement id.
write_until_done() {
    local attempt=0
    try_write() {
        attempt=$((attempt + 1))
        open_session "$1" "$2" || return 1
        statement "$3-$attempt" "WRITE item data" || true
        close_session
        [[ $answer == DONE* ]]
    }
    wait_until 60 try_write "$1" "$2" "$3"
}

# server_fault JSON: sets a fault of the fake platform.
server_fault() {
    curl -sf -X POST -d "$1" "http://$store_address/v1/fault" >/dev/null
}
