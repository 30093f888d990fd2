#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" 2 repeat_after_window
