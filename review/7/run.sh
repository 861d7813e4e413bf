#!/usr/bin/env bash
# A configuration whose routes are no list is sent after a valid one. With TROUBLE=0 it is not sent.
# Needs target/ (the build line of the deploy file) and review/build-2.sh. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/invalid_configuration
[ -x "$program" ] && [ -x target/hickoryspur ] || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
"$program" "$PWD" "$work" review/7/record.txt "${TROUBLE:-1}"
