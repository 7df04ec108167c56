#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 plays it without the disruption.
exec "$(dirname "$0")/../play" "$(dirname "$0")" fence
