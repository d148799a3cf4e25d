#!/bin/sh
# Builds the stand-ins that the scripts of the review start, into target/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig review/standins/rig/*.go
