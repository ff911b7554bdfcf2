#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the
# deploy file. The stand-ins are the Python files beside each script of review/11 to review/15, which
# need no build: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for case in review/11 review/12 review/13 review/14 review/15; do
  for file in "$case"/*.py; do
    name=$(basename "$file" .py)
    [ "$name" = case ] || (cd "$case" && python3 -c "import $name")
  done
done
[ -x target/briarglade ] || { echo "target/briarglade is missing" >&2; exit 2; }
