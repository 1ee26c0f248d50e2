#!/bin/sh
# Builds the programs of the cases, with all their stand-ins, into review/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
for case in review/[1-9]; do
	if [ -f "$case/main.go" ]; then
		go build -tags review -o "review/bin/case$(basename "$case")" "./$case"
	fi
done
