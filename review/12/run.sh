#!/bin/sh
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the clients encode the character in the path themselves.
cd "$(dirname "$0")/../.." || exit 2
exec target/standin-3 path review/12/record.txt
