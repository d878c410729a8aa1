#!/bin/sh
# Builds the stand-ins that the scripts of this folder start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
