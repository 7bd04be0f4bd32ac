#!/bin/sh
# Builds the program of the cases 6 to 10: their checks, and every stand-in that their scripts start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-2 ./review/trial
