#!/usr/bin/env bash
# The store turns an instance away that grants a third of a tenant's operations. Meanwhile an instance is added that
# takes its place, and the tenant sends several times its limit.
here=$(cd "$(dirname "$0")" && pwd)
trouble=${TROUBLE:-1} # 0: the same without the disruption
# shellcheck source=review/standin-3/case.sh
. "$here/../standin-3/case.sh"

# Of the instances of its region, the added one ranks before the others for one tenant in three; for this one it does.
tenant=tenant-13
rate=120
burst=24
contracts=', "tenants", "quota"'
start_platform 0 "[{\"Name\": \"$tenant\", \"ApiKeys\": [\"k1\"], \"RatePerS\": $rate, \"Burst\": $burst}]"
for number in 1 2 3 4 5 6; do
    start_entry "$number"
done
for number in 1 2 3 4 5 6; do
    launch "load$number" "$work/load$number.events" "$client" "$network.1$number:7200" lookups k1 read "s$number-" 4 20
done
await 10 grep -q ' done s6-1 ' "$work/load6.events" || finish 2 "the callers were not served"
sleep 3
[ "$trouble" = 0 ] || fault '{"instance": 1, "away": true}'
sleep 0.5
bootstrap=false
start_entry 7
launch load7 "$work/load7.events" "$client" "$network.17:7200" lookups k1 read s7- 4 14
sleep 8
[ "$trouble" = 0 ] || fault '{"instance": 1, "away": false}'
sleep 5

# Most operations in a window of 5 s, and the limit of the rule.
limit=$(((rate * 5 + burst) * 11 / 10 + 20))
most=$(grep " ran .* $tenant " "$work/platform.events" | awk '{ at[NR] = $1; first += first == 0
    while ($1 - at[first] >= 5000) first += 1
    if (NR - first + 1 > most) most = NR - first + 1 } END { print most + 0 }')
note "most operations of $tenant in 5 s: $most, limit $limit"
[ "$most" -gt 0 ] || finish 2 "nothing was run"
[ "$most" -le "$limit" ] && finish 0 "$most operations in 5 s, limit $limit"
finish 1 "QUOTA: $most operations in 5 s, limit $limit"
