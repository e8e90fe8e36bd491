#!/bin/sh
# Builds what the scripts start: all stand-ins are Python, so this compiles them.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -m compileall -q review \
    pistachiowell/standins pistachiowell/platform pistachiowell/soak
