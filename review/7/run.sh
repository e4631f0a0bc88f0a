#!/bin/sh
# Plays the case. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/teaselmoor-gateway ] && [ -x target/review-standin-2 ] || exit 2
exec target/review-standin-2 watches-cut "$folder"
