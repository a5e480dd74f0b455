#!/usr/bin/env bash
# TROUBLE=0: the same, and no cache node hangs.
exec "$(dirname "$0")/../case.sh" "$(dirname "$0")" hung_long_write
