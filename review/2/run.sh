#!/bin/sh
# Shows a request that crashes engine after engine. TROUBLE=0 leaves the crashes out. Writes record.txt.
cd "$(dirname "$0")/../.." && exec env PYTHONDONTWRITEBYTECODE=1 python3 review/2/case.py
