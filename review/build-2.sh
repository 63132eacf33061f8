#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: they are plain Python without
# further libraries, so this only checks that they compile.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile standins-2/small_fleet.py 6/case.py 7/case.py \
    8/case.py 9/case.py 10/case.py
