#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/, after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
for n in 4 5 6 8; do
	go build -o "target/review-$n" "./review/$n/driver"
done
