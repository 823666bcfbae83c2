#!/bin/sh
# A failure of a backend is passed on as a promise that an order has not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../stage2 exec python3 case.py
