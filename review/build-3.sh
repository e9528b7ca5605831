#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 13 start. Needs only what the build of the
# deploy file needs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for number in 11 13; do
    cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-unused-function -Ireview/standin \
        -o "target/review-3/case-$number" "review/$number/case.c" review/standin/world.c \
        review/standin/load.c $(pkg-config --cflags --libs jansson)
done
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -o target/review-3/case-12 review/12/case.c -ljansson
