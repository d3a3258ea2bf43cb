#!/bin/bash
# Builds the stand-ins of the scripts; they need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q .
