#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside this file.
# TROUBLE=0: one new configuration every tenth of a second, for 20 s.
exec "$(dirname "$0")/../case.sh" "$(dirname "$0")" reload_series
