#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside this file.
# TROUBLE=0: the same, and no cache node hangs.
exec "$(dirname "$0")/../case.sh" "$(dirname "$0")" hung_long_write
