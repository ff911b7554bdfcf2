#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They are all in
# lib-2/platform_2.py and run in the script's own process, so there is nothing to build
# but Python's own byte code, which is not kept: this only tells whether Python can read it.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - lib-2/*.py [0-9]*/case.py <<'EOF'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
EOF
