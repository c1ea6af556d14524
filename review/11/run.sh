#!/usr/bin/env bash
# A service with one synchronous replica. One replica is partitioned from the store and from one of four instances for
# 5 s. The other replica receives nothing for 6 s, and the primary crashes meanwhile.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/standin-3/case.sh
. "$here/../standin-3/case.sh"

start_platform 1
for number in 1 2 3 4; do
    start_entry "$number"
done
for number in 1 2 3 4; do
    launch "writers$number" "$work/writers$number.events" "$client" "$network.1$number:7200" orders caller write "w$number-" 2 26
done
await 10 grep -q ' done w4-1 ' "$work/writers4.events" || finish 2 "the writers were not served"
sleep 2
if [ "$trouble" != 0 ]; then
    fault '{"server": 2, "storeCut": true, "path": 1, "pathCut": true}'
    sleep 1
    fault '{"server": 1, "deaf": true}'
    sleep 2.8
    fault '{"server": 0, "running": false}'
    sleep 1.2
    fault '{"server": 2, "storeCut": false, "path": 1, "pathCut": false}'
    sleep 2
    fault '{"server": 1, "deaf": false}'
    sleep 3.8
    fault '{"server": 0, "running": true}'
    sleep 5
else
    sleep 16
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
