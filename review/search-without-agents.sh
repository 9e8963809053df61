#!/usr/bin/env bash
# Builds search-without-agents.cpp with the sanitizers' build of the project and runs it; needs the preset asan to be built.
set -euo pipefail
cd "$(dirname "$0")/../build-asan"
g++ -std=c++20 -g -fsanitize=address,undefined -fno-sanitize-recover=undefined -I../src -I.. \
    ../review/search-without-agents.cpp -o search-without-agents \
    libyuccahook_platform.a libyuccahook_core.a libyuccahook_schema.a \
    -Wl,-Bstatic -lcapnp-rpc -lcapnp -lkj-http -lkj-async -lkj -lxxhash -lzstd -Wl,-Bdynamic -lcivetweb -llog4cxx
exec ./search-without-agents "$@"
