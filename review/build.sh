#!/bin/sh
# Builds the stand-ins of the cases into review/bin. Needs the build of the deploy file for the gateway itself.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/standin/...
