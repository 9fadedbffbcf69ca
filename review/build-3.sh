#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. The build of the deploy file makes the other programs.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand3 ./review/stand3
