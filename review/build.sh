#!/bin/sh
# Builds the stand-ins of all cases into review/bin.
cd "$(dirname "$0")/.." || exit 2
go build -tags review -o review/bin/standins ./review/standins || exit 1
exec go build -tags review -o review/bin/cases ./review/cases
