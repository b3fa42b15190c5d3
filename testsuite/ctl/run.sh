#!/usr/bin/env bash
# Settings and declarations: the examples are valid, settings of another program are rejected, each error of an invalid
# file is listed with its line, and a diff names the changed field.
set -euo pipefail
programs=$(cd "$1" && pwd)
cd "$(dirname "$0")"
examples=../../examples
actual=$(
    for deployment in clipback kandy; do
        "$programs/pomeloctl" validate "$examples/$deployment.yaml" --output json
    done
    "$programs/pomelo-router" --settings "$examples/router.yaml" --check
    "$programs/pomelo-controller" --settings "$examples/controller.yaml" --check
    "$programs/pomelo-router" --settings "$examples/controller.yaml" --check 2>&1 | grep -c 'unknown key\|is required'
    "$programs/pomeloctl" validate broken.yaml 2>&1 || echo "exit=$?"
    "$programs/pomeloctl" diff "$examples/clipback.yaml" <(sed '0,/worth: 5/s//worth: 6/' "$examples/clipback.yaml")
    "$programs/pomeloctl" status 2>&1 || echo "exit=$?"
    "$programs/pomeloctl" status --endpoint nowhere 2>&1 || echo "exit=$?"
    "$programs/pomeloctl" fly 2>&1 || echo "exit=$?"
)
diff expected.txt <(printf '%s\n' "$actual")
