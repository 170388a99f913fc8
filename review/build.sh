#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They are Python files that use the standard library only, so
# that there is nothing to install; this checks that they compile.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
