#!/usr/bin/env bash
# Case 4. TROUBLE=0: no machine is turned away by the store. Exit: 1 rule broken, 0 held, 2 couldn't run.
export TROUBLE="${TROUBLE:-1}"
exec timeout 118 python3 "$(dirname "$0")/run.py"
