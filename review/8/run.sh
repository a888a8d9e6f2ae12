#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
jdk_home=$(tools/find-jdk) || exit 2
"$jdk_home/bin/java" -Xmx256m -cp target/review-2 secondreview.LongSchedules review/8/record.txt
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
