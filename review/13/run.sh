#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: no searcher turns slow and no client leaves.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-3 gone review/13/record.txt
