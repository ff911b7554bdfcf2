#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. They are Python programs without
# packages of others: this only checks that each can be read and compiled.
set -euo pipefail
cd "$(dirname "$0")"
for program in */*.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$program"
done
