#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 and 12 start. Needs only what the build of the
# deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Ireview/standin -o target/review-3/case-11 \
    review/11/case.c review/standin/world.c review/standin/load.c \
    $(pkg-config --cflags --libs jansson)
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-3/case-12 review/12/case.c -ljansson
