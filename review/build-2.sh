#!/usr/bin/env bash
# Checks the stand-ins of cases 6 to 10. They are plain JavaScript for Node.js without dependencies, so nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs; do node --check "$file"; done
