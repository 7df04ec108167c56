#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 each order is
# answered and the worker doesn't crash; the holder is stopped all the same.
cd "$(dirname "$0")/../.." || exit 2
if [[ ! -x target/review-3/rig || ! -x target/release/poplarseam-gateway ]]; then
    echo "build the deploy file and review/build-3.sh first" >&2
    exit 2
fi
exec target/review-3/rig handover review/12
