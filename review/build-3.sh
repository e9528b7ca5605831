#!/bin/sh
# Builds the stand-in that the script of case 12 starts. Needs only what the build of the deploy file
# needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-3/case-12 review/12/case.c -ljansson
