#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start, after the build of the deploy file.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
jdk_home=$(tools/find-jdk)
rm -rf target/review-3
mkdir -p target/review-3
"$jdk_home/bin/javac" -d target/review-3 -cp 'target/app/*' review/harness-3/*.java
cp review/harness-3/names.properties target/review-3/
