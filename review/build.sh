#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: this folder's, and the project's own store. They run
# with the libraries that the deploy file's build has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:src" PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import ast
import pathlib

import aiohttp
import attrs
import standins.store

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins are ready")
END
