#!/usr/bin/env bash
# Prepares the scripts of the third review (cases 11 to 13). Their stand-ins, in lib-3, are plain modules of Node.js without
# dependencies, so that there is nothing to compile; this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-3/*.mjs 1[1-5]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
