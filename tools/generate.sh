#!/usr/bin/env bash
# Writes schema/generated from schema/*.proto. The result is committed.
set -euo pipefail
cd "$(dirname "$0")/../schema"
protoc --cpp_out=generated -I. ./*.proto
