#!/bin/sh
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -x "$root/review/bin/standins" ] || exit 2
exec "$root/review/bin/standins" uploads "$root" "$folder"
