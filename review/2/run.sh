#!/bin/sh
# Writes record.txt in this folder. Exit code: 1 the rule was broken, 0 it held, 2 the case could
# not run. TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
: > "$here/record.txt" || exit 2
if ! command -v python3 > /dev/null; then
    echo "could not run: no python3" | tee "$here/record.txt"
    exit 2
fi
exec python3 "$here/case.py" "$here/record.txt"
