#!/bin/bash
#
# Builds the stand-ins that the scripts of the second review start, after the
# build of the deploy file and with the same packages.
set -e
cd "$(dirname "$0")/.."
make -s -j8 B=target target/test/fakes/fake_platform_engine
