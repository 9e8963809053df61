#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs (review/lab2.py) and need no build; this only checks that they compile.
lab="$(dirname "$0")/lab2.py"
exec python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$lab"
