#!/bin/sh
# Plays the case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could
# not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/geraniumrouter ] || [ ! -x target/review-rig ]; then
	echo "build target/geraniumrouter as in deploy/system.toml, and run review/build.sh" >&2
	exit 2
fi
exec target/review-rig clients-leave review/4/record.txt
