#!/usr/bin/env bash
# Guards against stored objects of many small values, which take far more memory when they are read than as text: a
# configuration and an entry of a server with 340,000 empty values, 1 MB of text each.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"
start_crowd_target

# put_values METHOD PATH NAME: writes an object whose member Routes is a list of 340,000 empty values.
put_values() {
    { printf '{"meta": {"Name": "%s"}, "spec": {"Version": 9, "Routes": [' "$3"
      yes '{},' | head -n 339999 | tr -d '\n'
      printf '{}], "Services": []}}'; } \
        | curl -sf -X "$1" -H 'Content-Type: application/json' --data-binary @- \
            "http://$store_address/api/objects/$2" >/dev/null
}

step="stored values"
put_values POST servers many || fail "the store did not take the entry"
put_values PUT config/main main || fail "the store did not take the configuration"
wait_until 30 grep -q configuration-unreadable "$work/target.log" || fail "the configuration was not received"
check_target

step="the next configuration"
put_routes 10 filings lookups orders || fail "the configuration was not accepted"
wait_until 30 write_until_done 1 orders new || fail "no write through the new route: $answer"
check_target
