#!/usr/bin/env bash
# The stand-ins are plain JavaScript with no dependencies: checks that each of them can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js */play.js; do
  node --check "$file"
done
