#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves out the
# disruption. Needs the build of deploy/system.toml and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
for program in target/release/latchwheel-adapter target/review/release/review-stand-ins; do
    [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
exec target/review/release/review-stand-ins late-leave "$folder"
