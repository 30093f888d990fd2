#!/bin/sh
# Builds the stand-ins and checks of the second review. They use the standard library alone, so no
# network is needed. The gateway itself is built by the deploy file's `build`.
set -eu
cd "$(dirname "$0")/stand-ins-2"
exec cargo build --release --locked --offline
