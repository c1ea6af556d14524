#!/usr/bin/env bash
# A service with one synchronous replica. One replica receives nothing for 6 s. Meanwhile the primary is partitioned from
# its replicas and from three of five instances, the other replica is promoted, and crashes before the cut ends.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/standin-3/case.sh
. "$here/../standin-3/case.sh"

# cut_primary BOOLEAN: cuts the first primary off, or ends that.
cut_primary() {
    local number
    for number in 1 2 3; do
        fault "{\"server\": 0, \"isolated\": $1, \"path\": $number, \"pathCut\": $1}"
    done
}

start_platform 1
for number in 1 2 3 4 5; do
    start_entry "$number"
done
for number in 1 2 3 4 5; do
    launch "writers$number" "$work/writers$number.events" "$client" "$network.1$number:7200" orders caller write "w$number-" 2 24
done
await 10 grep -q ' done w5-1 ' "$work/writers5.events" || finish 2 "the writers were not served"
sleep 2
if [ "$trouble" != 0 ]; then
    fault '{"server": 1, "deaf": true}'
    sleep 1.5
    cut_primary true
    await 3 grep -q ' promoted i-3a91c2 ' "$work/platform.events" || finish 2 "the other replica was not promoted"
    sleep 0.7
    fault '{"server": 2, "running": false}'
    sleep 0.5
    cut_primary false
    await 3 grep -q ' promoted .* 3 ' "$work/platform.events"
    sleep 1
    fault '{"server": 1, "deaf": false}'
    sleep 3.5
    fault '{"server": 2, "running": true}'
    sleep 3
else
    sleep 14
fi

# Acknowledged writes that the log of the promoted server lacks.
cat "$work"/writers*.events | awk '$2 == "done" { print $1, $4 }' >"$work/acknowledged"
[ -s "$work/acknowledged" ] || finish 2 "nothing was acknowledged"
lost=0
while read -r at _ server term ids; do
    tr ' ' '\n' <<<"$ids" | sort >"$work/held"
    awk -v at="$at" '$1 < at { print $2 }' "$work/acknowledged" | sort >"$work/before"
    missing=$(comm -23 "$work/before" "$work/held" | wc -l)
    note "checked promotion of $server, term $term: $(wc -l <"$work/before") acknowledged before, $missing not in its log"
    comm -23 "$work/before" "$work/held" | head -5 | while read -r id; do
        note "violation $id acknowledged and not in the log of $server"
    done
    lost=$((lost + missing))
done < <(grep ' promoted ' "$work/platform.events")
[ $lost = 0 ] && finish 0 "$(wc -l <"$work/acknowledged") writes acknowledged, none lost by a promotion"
finish 1 "LOST: $lost acknowledged writes are not in the log of the promoted server"
