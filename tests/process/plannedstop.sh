#!/usr/bin/env bash
# Guards against a planned stop that aborts requests: a proxy with requests in flight must finish or refuse each of them
# and exit with code 0, and every acknowledged write must be stored.
. "$(dirname "$0")/common.sh"
start_test_fleet

step="requests in flight during a stop"
first=$(instances_of "$user" | head -1)
owner=$(primary_owner "$first")
other=$(other_instance "$owner")
for number in $(seq 20); do
    request "$user" "$owner" "$database" write filing.create "append ledger entry-$number" >"$work/answer-$number" &
    requests[number]=$!
done
kill -TERM "${fleet_pid_of[$owner]}"
for number in $(seq 20); do
    wait "${requests[number]}" || true
done
stopped() { ! kill -0 "${fleet_pid_of[$owner]}" 2>/dev/null; }
wait_until 60 stopped || fail "$owner did not stop"
wait "${fleet_pid_of[$owner]}" || fail "$owner exited with a non-zero code"

step="every answer is definite"
acknowledged=0
for number in $(seq 20); do
    # The answer is empty if the connection was refused because the listener had already closed.
    execution=$(json_field execution <"$work/answer-$number")
    case ${execution:-refused} in
    ran) acknowledged=$((acknowledged + 1)) ;;
    "not run" | refused) ;;
    *) fail "request $number ended with: $(cat "$work/answer-$number")" ;;
    esac
done
answer=$(request "$user" "$other" "$database" read exact.ledger "count ledger" -H "Session-Id: other-session")
[ "$(json_field value <<<"$answer")" = "$acknowledged" ] || fail "$acknowledged writes were acknowledged, but the ledger count is: $answer"
