#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case2 ] && [ -x target/lynxrampfleet ] || exit 2
exec review/bin/case2 . review/2
