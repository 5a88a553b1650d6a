#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the daemon of the deploy file. The
# stand-ins are Python 3 with its own library only, so it is enough that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'PYTHON'
import glob
import sys

for path in sorted(glob.glob("[6-9]/*.py") + glob.glob("10/*.py")):
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("ok", path)
PYTHON
