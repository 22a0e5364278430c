#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript on Node's own modules: there is nothing to compile.
# This checks that each file parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
