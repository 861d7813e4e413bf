#!/usr/bin/env bash
# Lesson 3: changing a document. Two operators change the same document: the first change is accepted, the second is
# refused with a message that names the accepted document. A rollback is a new document with the old text.
set -euo pipefail
cd "$(dirname "$0")/.."
. tutorial/start
before=$(last_of trial)
sed 's/deadline: 340ms/deadline: 300ms/' examples/zatoka/document.yaml > "$run/anu.yaml"
sed 's/deadline: 340ms/deadline: 400ms/' examples/zatoka/document.yaml > "$run/jan.yaml"

operator submit "$run/anu.yaml" --after "$before" --wait
operator submit "$run/jan.yaml" --after "$before" --wait || echo "(exit $?: another document was accepted first)"

# The check of an invalid document lists every error with its line.
printf 'services:\n  - {name: x, deadline: soon, colour: red}\n' > "$run/wrong.yaml"
build/hickoryspur check --kind document "$run/wrong.yaml" || echo "(exit $?)"

# Promotes the document that is in trial, then returns to the first text, which becomes number 3.
operator promote --digest "$(last_of trial | cut -d: -f2)" --after "$(last_of production)" --wait
operator submit examples/zatoka/document.yaml --after "$(last_of trial)" --wait
operator promote --digest "$(last_of trial | cut -d: -f2)" --after "$(last_of production)" --wait
operator history --environment production
