#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no host is added.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins-2 ] && [ -x target/release/portfield-host ] || exit 2
RECORD=review/6/record.txt timeout 110 target/review/standins-2 cold-join
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
