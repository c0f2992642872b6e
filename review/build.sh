#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o review/bin/standins ./review/standins
