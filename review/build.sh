#!/usr/bin/env bash
# The stand-ins are Python files of this folder and of standins/; they need nothing but what the
# build of the deploy file has placed under target/deps. This checks that they can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "import review.harness"
