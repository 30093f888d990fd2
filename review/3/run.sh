#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 leaves the disruption out.
exec "$(dirname "$0")/../run-case.sh" 3 stale_engine_list
