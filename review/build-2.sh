#!/bin/bash
# Builds the stand-ins of the scripts in the folders 6 to 10: they need nothing but the
# standard library, so their modules are only compiled.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib2 6 7 8 9 10
