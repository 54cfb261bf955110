#!/bin/sh
# The stand-ins are plain Python without dependencies and run from source;
# this only checks that they compile. The gateway's own packages come from the
# build of the deploy file (target/deps).
cd "$(dirname "$0")/.." || exit 2
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" \
        "$file" || exit 1
done
