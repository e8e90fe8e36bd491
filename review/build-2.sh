#!/bin/sh
# Builds what the scripts of this review start: the stand-ins are plain Python.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/rig2.py
