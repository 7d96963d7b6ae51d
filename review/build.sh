#!/bin/sh
# Builds the stand-ins of the review's scripts. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-harness ./review/harness
