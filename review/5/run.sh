#!/usr/bin/env bash
# Runs the case and writes record.txt beside this file. 1: the rule was broken, 0: it held, 2: it could not run.
# Needs the build line of deploy/system.toml and review/build.sh. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/drain-queue ] || { echo "not built: run review/build.sh" >&2; exit 2; }
exec target/review/drain-queue "$here"
