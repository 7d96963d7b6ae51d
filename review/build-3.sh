#!/bin/sh
# Builds the stand-ins of the third review's scripts, from any folder. The programs of the deploy file are built before.
set -eu
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review3/ ./review/standins3
