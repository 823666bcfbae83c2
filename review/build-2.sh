#!/bin/sh
# The stand-ins of the cases 6 to 10 need no build: they are written in Python and
# use only its standard library. The daemon is built by deploy/build.sh.
set -eu
python3 -c 'import asyncio, sys, tomllib; assert sys.version_info >= (3, 11)'
