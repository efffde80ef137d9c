#!/bin/sh
# Runs rpcgen over radishdeal.x; its output is committed.
set -e
cd "$(dirname "$0")"
rm -f radishdeal.h radishdeal_xdr.c
rpcgen -h -o radishdeal.h radishdeal.x
rpcgen -c -o radishdeal_xdr.c radishdeal.x
