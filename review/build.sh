#!/bin/sh
# Builds the stand-ins that the script cases start. The build of deploy/system.toml comes
# before it.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
