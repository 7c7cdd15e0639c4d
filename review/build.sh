#!/bin/sh
# The stand-ins use Python's standard library alone; this checks that they load.
cd "$(dirname "$0")" && exec python3 -c '
import standins.play, standins.rules
'
