#!/bin/sh
# Builds what the scripts of the second review start: their stand-ins are Python and need no more than .venv.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/harness_2
