#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. Run it after the build of the
# deploy file. The stand-ins of review/11 to review/15 are Python (review/lib-3), which needs no
# build: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review/lib-3"); import small_fleet, model_servers'
[ -x target/briarglade ] || { echo "target/briarglade is missing" >&2; exit 2; }
