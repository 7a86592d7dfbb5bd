#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 python3 review/1/case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
