#!/bin/sh
# Case 13. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Build first: the build of deploy/system.toml, review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/guavavane-platform ] && [ -x target/review-3/standin ] || exit 2
exec target/review-3/standin full-shares review/13/record.txt
