#!/bin/bash
# Builds the stand-ins of the cases 4 to 8 into review/bin, which is not tracked.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/rig ./review/rig
