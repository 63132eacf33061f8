#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
timeout -k 5 112 python3 "$(dirname "$0")/case.py"
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
