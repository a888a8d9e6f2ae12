#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the output of tools/build-runtime.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
jdk_home=$("$root/tools/find-jdk")
mkdir -p "$root/target/review"
cp "$root/review/wire.properties" "$root/target/review/"
"$jdk_home/bin/javac" -d "$root/target/review" -cp "$root/target/app/*" "$root"/review/*.java
