#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 does the same without the disruption.
set -euo pipefail
if [ "${TROUBLE:-1}" = 0 ]; then
  disruption=calm
else
  disruption=trouble
fi
export PYTHONDONTWRITEBYTECODE=1
exec python3 "$(dirname "$0")/case.py" "$disruption"
