#!/bin/sh
# Builds the trials into the directory $1, from review/standin and world.patch.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$1"
cp "$here"/../../../review/standin/world.[ch] "$here/case.c" "$1"
cd "$1"
patch -s -p1 < "$here/world.patch"
cc -std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I. -o trial case.c world.c \
    $(pkg-config --cflags --libs jansson)
