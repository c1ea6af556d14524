#!/usr/bin/env bash
# Guards against real processes that behave differently from the decision library, over the statement protocol:
# transactions, errors, a new configuration, an outage of the store, a killed primary, a killed instance and a planned
# stop.
# shellcheck source=tools/lib/entries.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/entries.sh"

start_platform_and_entries first second

step="a transaction reads its own write"
write_until_done 1 filings warm || fail "no write was acknowledged: $answer"
open_session 1 filings || fail "no session: $answer"
statement t1 BEGIN && [[ $answer == "DONE - | READY T"* ]] || fail "begin: $answer"
statement t2 "WRITE item data" && [[ $answer == DONE*READY\ T* ]] || fail "write: $answer"
statement t3 "READ item" && [[ $answer == ROW*DONE*READY\ T* ]] || fail "read: $answer"
statement t4 COMMIT && [[ $answer == DONE*READY\ I* ]] || fail "commit: $answer"
statement t5 "READ item" && [[ $answer == *DONE*READY\ I* ]] || fail "read after commit: $answer"
close_session

step="an unknown database"
open_session 1 nowhere && fail "a session on an unknown database was opened"
[[ $answer == "ERROR NODB"* ]] || fail "answer: $answer"

step="malformed input"
exec 5<>"/dev/tcp/$statement_network.11/7200"
printf 'NONSENSE\r\n' >&5
read_answer || true
[[ $answer == "ERROR MALFORMED"* ]] || fail "answer: $answer"
close_session

step="a new configuration"
put_routes 2 filings lookups orders || fail "the configuration was not accepted"
wait_until 20 write_until_done 2 orders new || fail "no write through the new route: $answer"

step="outage of the store"
server_fault '{"down": true}'
write_until_done 1 filings outage || fail "no write during the outage: $answer"
server_fault '{"down": false}'

step="killed primary"
server_fault '{"server": 0, "running": false}'
write_until_done 1 filings failover || fail "no write after the failover: $answer"
write_until_done 2 filings failover || fail "no write through the second instance: $answer"

step="killed instance"
kill_process first
start_entry first 1
write_until_done 1 filings restarted || fail "no write through the restarted instance: $answer"

step="planned stop"
kill -TERM "${fleet_pid_of[second]}"
wait "${fleet_pid_of[second]}" || fail "second exited with code $? at the planned stop"
write_until_done 1 filings last || fail "no write after the planned stop: $answer"
