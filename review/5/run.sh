#!/bin/sh
# Shows accepted calls that a planned stop cuts off. TROUBLE=0 leaves the stop out. Writes record.txt.
cd "$(dirname "$0")/../.." && exec env PYTHONDONTWRITEBYTECODE=1 python3 review/5/case.py
