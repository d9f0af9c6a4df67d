#!/bin/sh
# Plays case 10; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
exec ../../bin/review-standin2 flight .
