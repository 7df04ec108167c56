#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 plays it without the disruption.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec target/review/release/rig config "$folder"
