#!/usr/bin/env bash
# Guards against memory that grows at the members of a fleet with what an instance relays to them, or with what clients
# send to a member's port for relayed work, where a message has the room that other instances need.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"
start_crowd_fleet 11

step="large statements to a relaying instance"
front="$statement_network.1$relaying_number:7200"
crowd_at "$front" --connections=60 --start="CONNECT filings caller" --message="QUERY m WRITE item " --fill-bytes=900000 \
    --messages=4 --limit-ms=4000
watch_crowd
check_target

step="replies of a relaying instance that are not read"
crowd_at "$front" --connections=60 --start="CONNECT filings caller" --value-bytes=200000 --message="QUERY m READ item" \
    --messages=40 --no-reading --limit-ms=4000
watch_crowd
check_target

step="large values at a member's relay port"
relay="$statement_network.1$member_number:7210"
open_relayed="CONNECT filings caller instance-$member_number"
crowd_at "$relay" --connections=90 --start="$open_relayed" --message="QUERY m SET v " --fill-bytes=900000 --messages=4 \
    --piece-bytes=8192 --interval-ms=1 --limit-ms=5000
watch_crowd
check_target

step="messages without an end at a member's relay port"
crowd_at "$relay" --connections=90 --start="$open_relayed" --message="QUERY m SET v " --fill-bytes=4194304 --unterminated \
    --limit-ms=4000
watch_crowd
check_target

step="connections to a member's relay port"
crowd_at "$relay" --connections=300 --start="$open_relayed" --limit-ms=4000
watch_crowd
check_target
ordinary_number=$member_number
check_ordinary_request
