#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/harness-2 ] || exit 2
record=review/6/record.txt
target/review/harness-2 billing "$record" "${TROUBLE:-1}" &
harness=$!
end() {
    kill "$harness" 2>/dev/null
    sed -n 's/^ *[0-9.]* process \([0-9]*\) of .* starts$/\1/p' "$record" | xargs -r kill -KILL 2>/dev/null
    exit 2
}
trap end TERM INT
wait "$harness"
