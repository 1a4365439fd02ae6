#!/bin/sh
# Builds the stand-in that the scripts of review/11 to review/15 start. Run it after the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-3
