#!/bin/bash
#
# Builds the stand-ins that the scripts of the third review start, after the
# build of the deploy file and with the same packages.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra $(pkg-config --cflags libevent) \
	review/11/releases.c $(pkg-config --libs libevent) -o target/review/releases
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra $(pkg-config --cflags libevent) \
	review/12/operator.c $(pkg-config --libs libevent) -o target/review/operator
