#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
"$folder/../play" FailedGang "$folder"
