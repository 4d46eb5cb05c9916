#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can run: they are Python files, need no compiler, and
# import aiohttp from target/deps, where the build of the deploy file has put it.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "target/deps is missing: run the build of deploy/system.toml"; exit 1; }
for file in review/kit2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py review/10/case.py; do
    PYTHONPATH=target/deps python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 python3 -c "import kit2"
