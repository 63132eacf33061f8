#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
exec timeout -k 5 115 python3 "$(dirname "$0")/case.py"
