#!/bin/sh
# Builds what the scripts of the second review start, after the build of the deploy file.
# The stand-ins are Python; this compiles them, and fails if one cannot be imported.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH="target/deps:."
python3 -m compileall -q bulrushloom standins review/harness_2 || exit 1
python3 -c "
import review.harness_2.callers, review.harness_2.instances
import standins.platform.host, standins.ports
"
