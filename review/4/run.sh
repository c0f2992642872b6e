#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 it does the same without the disruption, and must exit with 0.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$folder
while [ ! -f "$root/go.mod" ]; do
	[ "$root" = / ] && exit 2
	root=$(dirname "$root")
done
cd "$root" || exit 2
if [ ! -x review/bin/cases ] || [ ! -x target/sequoiarack ]; then
	echo "build deploy/system.toml and run review/build.sh first" >&2
	exit 2
fi
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out
exec review/bin/cases forms "$folder"
