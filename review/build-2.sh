#!/bin/sh
# Builds the stand-ins of the second review into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin-2 ./review/standin-2
