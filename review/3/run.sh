#!/usr/bin/env bash
# An entry gets SIGTERM while clients have streams on kept connections.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pumiceford ] && [ -x review/bin/driver ] || { echo "build first: the deploy file's command, then review/build.sh"; exit 2; }
exec review/bin/driver stop review/3/record.txt
