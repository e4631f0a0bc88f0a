#!/usr/bin/env bash
# Builds the stand-ins of the cases, beside the program that the deploy file's build line builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
