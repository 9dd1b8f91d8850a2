#!/bin/sh
# Builds what the scripts of the third review start: the stand-ins are Python, and are compiled here.
# The build of the deploy file comes first: it makes target/deps, which the scripts use.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/system.toml"; exit 1; }
python3 -m compileall -q standins verbenaward review/harness.py review/harness_3.py review/1[1-5]
PYTHONPATH=target/deps:. python3 -c "import aiohttp, standins.platform_store, review.harness"
