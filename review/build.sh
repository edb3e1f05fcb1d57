#!/usr/bin/env bash
# The stand-ins of the cases need Python 3.11 and its standard library only: nothing is
# built. This checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for each in lib/*.py [0-9]/*.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$each"
done
