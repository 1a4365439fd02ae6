#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/.
cd "$(dirname "$0")/.." && go build -o target/standin-2 ./review/standin-2
