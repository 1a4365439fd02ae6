#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the store neither goes away nor comes back from a copy.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-3 drill review/12/record.txt
