#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js, so nothing is compiled: their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs */test.mjs; do node --check "$file"; done
