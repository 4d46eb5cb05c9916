#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start, after the build of the deploy file.
#
# They are the Python modules named below and those of src/standins, and need nothing but what that
# build has put into target/deps. This compiles and imports them.
set -eu
cd "$(dirname "$0")/.."
[ -e target/deps/.installed ] || { echo "build the deploy file first" >&2; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
for source in review/standins3.py review/platform3.py review/scene3.py review/1[1-5]/*.py src/standins/*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$source"
done
PYTHONPATH=target/deps:src:review python3 -c 'import scene3, standins.store, tarragoncart'
mkdir -p target/review-3
touch target/review-3/built
