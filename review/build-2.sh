#!/bin/sh
# Prepares the scripts of the second review, after the build of the deploy file. Their stand-ins are
# Python with its standard library alone: there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")/.."
test -x target/release/hooktrestle-gateway
exec python3 -c 'import asyncio, tomllib; asyncio.timeout'
