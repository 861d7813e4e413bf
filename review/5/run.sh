#!/usr/bin/env bash
# Runs the two parts of the case and writes record.txt beside this file. 1: a rule was broken, 0: they held, 2: a part could
# not run. Needs the build line of deploy/system.toml and review/build.sh. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
result=0
: > "$here/record.txt"
for part in drain-queue departed; do
  [ -x "target/review/$part" ] || { echo "not built: run review/build.sh" >&2; exit 2; }
  "target/review/$part" "$folder"
  ended=$?
  { echo "== $part"; cat "$folder/record.txt"; } >> "$here/record.txt"
  [ $ended -eq 2 ] && exit 2
  [ $ended -eq 0 ] || result=1
done
exit $result
