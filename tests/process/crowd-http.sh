#!/usr/bin/env bash
# Guards against memory that grows with requests to the readiness address: headers of 800 KB that do not end, bodies of
# 4 MB, and requests for the metrics that are sent ahead by clients that read nothing, 40 connections each.
# shellcheck source=tools/lib/crowd.sh
. "${JUJUBEKEEL_SOURCE_DIR:?}/tools/lib/crowd.sh"
start_crowd_target

http_crowd() {
    step="crowd: $1"
    crowd_at "$statement_network.11:7201" --connections=40 --limit-ms=4000 "${@:2}"
    watch_crowd
    check_target
    curl -sf --max-time 20 "http://$statement_network.11:7201/api/readiness" >/dev/null \
        || fail "the readiness address did not answer"
}

http_crowd headers --start="GET /metrics HTTP/1.1" --message="X-Filler: " --fill-bytes=8000 --messages=99
http_crowd "complete headers" --start="GET /metrics HTTP/1.1" --message=$'X-Filler: a\r\nX-Filler: ' --fill-bytes=8000 \
    --messages=49
http_crowd bodies --start="POST /api/readiness HTTP/1.1" --message=$'Content-Length: 4000000\r\n\r\n' --fill-bytes=4000000
http_crowd "requests sent ahead" --message=$'GET /metrics HTTP/1.1\r\nHost: a\r\n' --messages=10000 --no-reading
