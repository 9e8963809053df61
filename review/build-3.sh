#!/usr/bin/env bash
# The stand-ins of cases 11 and later are Python programs of the standard library; nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in lab3.py flows3.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
