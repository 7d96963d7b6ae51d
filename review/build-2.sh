#!/bin/sh
# Builds the stand-ins of the second review's scripts, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2 ./review/harness-2
go build -tags review -o target/review-rig ./review/rig
