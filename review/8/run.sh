#!/bin/sh
# Shows entries that end by themselves at each start once a bound in their settings file is a fraction.
# Writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
exec python3 "$(dirname "$0")/play.py"
