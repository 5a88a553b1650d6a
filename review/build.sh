#!/bin/sh
# The stand-ins of the scripts are Python of the standard library: nothing is compiled. This
# checks that the interpreter and the daemon of the deploy file's build are there.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
python3 -m py_compile review/support/harness.py review/*/case.py
rm -rf review/support/__pycache__ review/*/__pycache__
test -x target/marigoldcrankd || echo "target/marigoldcrankd is missing: run the build of deploy/system.toml"
