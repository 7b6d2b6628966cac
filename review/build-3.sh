#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start: the project's processes. The stand-ins are Python programs
# of the standard library and need no build; their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked -p eelgrassdyke-platform
for file in review/1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
