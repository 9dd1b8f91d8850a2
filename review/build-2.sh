#!/bin/sh
# Builds what the scripts of the second review start. The stand-ins, the project's own too, are
# Python and need no build; this checks that they load with the libraries of the deploy file.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 -c 'import harness_2'
