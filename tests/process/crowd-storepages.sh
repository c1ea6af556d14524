#!/usr/bin/env bash
# Guards against memory that grows with what others have written to the store: 80 objects of 1 MB beside the
# configuration, and 40 beside the records of the fleet, which are listed in pages.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"

step="store"
start_statement_platform
put_large_objects config 80 1000000 || fail "the store did not take the objects"
put_large_objects jujubekeel 40 1000000 || fail "the store did not take the objects"
start_crowd_entry
check_target

step="changed while the instance runs"
put_large_objects servers 40 1000000 || fail "the store did not take the objects"
put_routes 2 filings lookups orders || fail "the configuration was not accepted"
wait_until 20 write_until_done 1 orders new || fail "no write through the new route: $answer"
check_target
