#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: they are Python, so this only checks that they compile.
cd "$(dirname "$0")/.." || exit 1
cache=$(mktemp -d) || exit 1
trap 'rm -rf "$cache"' EXIT
for file in review/common-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    PYTHONPYCACHEPREFIX="$cache" python3 -m py_compile "$file" || exit 1
done
echo "the stand-ins compile"
