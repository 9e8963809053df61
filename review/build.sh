#!/bin/sh
# The stand-ins of the scripts are Python programs of this folder; only the project's program has to be built, by the
# line `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
test -x target/yuccahook || { echo "target/yuccahook is missing: run the line build of deploy/system.toml first"; exit 2; }
python3 - <<'P'
import ast, glob
for path in glob.glob("review/*.py") + glob.glob("review/*/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("review/: the scripts can be read")
P
