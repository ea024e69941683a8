#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. It needs the JDK alone and no network.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -d target/review-2 review/tools/2/*.java
