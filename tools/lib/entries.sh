# shellcheck shell=bash
# shellcheck disable=SC2034,SC2154  # variables shared with the other files of functions
# Set-up of the tests that run entry instances against the fake of the users' platform (tests/process): the variables and
# functions of fleet.sh and statements.sh, the EXIT trap, and the start of the processes.
set -euo pipefail

source=${JUJUBEKEEL_SOURCE_DIR:?}
build=${JUJUBEKEEL_BINARY_DIR:?}
work=$(mktemp -d)
# shellcheck source=tools/lib/fleet.sh
. "$source/tools/lib/fleet.sh"
# shellcheck source=tools/lib/statements.sh
. "$source/tools/lib/statements.sh"
trap report_and_stop EXIT

# start_entries NAMES...: starts entry instances with these names, numbered from 1.
start_entries() {
    local name number=0
    for name in "$@"; do
        number=$((number + 1))
        start_entry "$name" "$number"
    done
}

# start_platform_and_entries NAMES...: starts the fake platform and entry instances with these names, numbered from 1.
start_platform_and_entries() {
    step="start"
    start_statement_platform
    start_entries "$@"
}
