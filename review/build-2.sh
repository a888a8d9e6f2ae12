#!/usr/bin/env bash
# Compiles the scripts of cases 6 to 10 and their stand-ins into target/review-2. Needs the JDK of the build only.
set -euo pipefail
cd "$(dirname "$0")/.."
jdk_home=$(tools/find-jdk)
rm -rf target/review-2
mkdir -p target/review-2
"$jdk_home/bin/javac" -Xlint:-options -d target/review-2 review/CaseRun.java review/Json.java review/SoundExecutor.java \
  review/World.java $(find review/6 review/7 review/8 review/9 review/10 -name '*.java' 2>/dev/null | sort)
