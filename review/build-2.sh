#!/usr/bin/env bash
# Prepares the stand-ins of review/4 to review/8. They are plain modules for Node without
# dependencies, so there is nothing to compile: each is checked, and the program must be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs [4-8]/*.mjs; do node --check "$file"; done
test -f ../target/main.cjs || { echo 'target/main.cjs is missing: run the build of the deploy file first'; exit 1; }
echo 'stand-ins checked'
