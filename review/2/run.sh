#!/usr/bin/env bash
# Case 2. TROUBLE=0: no process gets SIGTERM. Exit: 1 rule broken, 0 held, 2 couldn't run.
export TROUBLE="${TROUBLE:-1}"
exec timeout 110 python3 "$(dirname "$0")/run.py"
