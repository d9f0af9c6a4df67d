#!/bin/sh
# Builds the stand-ins of the cases, with the standard library alone, into review/bin.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/standin .
