#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruptions out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/harness ] && [ -x target/release/lapismast-entry ] || exit 2
target/review/harness rolling target/release/lapismast-entry "$here/record.txt" &
harness=$!
# The harness ends its entries itself, unless it is stopped early.
trap 'pkill -KILL -P $harness; kill $harness; exit 2' TERM INT HUP
wait $harness
