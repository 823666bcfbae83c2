#!/bin/sh
# A second SIGTERM while a daemon stops.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../stage2 exec python3 case.py
