#!/bin/bash
#
# Builds the stand-ins that the scripts of the second review start, after the
# build of the deploy file and with the same packages.
set -e
cd "$(dirname "$0")/.."
make -s -j8 B=target target/test/fakes/fake_platform_engine
mkdir -p target/review
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra $(pkg-config --cflags libevent) \
	review/9/replica.c $(pkg-config --libs libevent) -o target/review/replica
