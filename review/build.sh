#!/usr/bin/env bash
# Builds the stand-ins of the review. The gateway itself is built by the deploy file's command `build`.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --locked --offline
