#!/bin/sh
# Shows that an entry of another writer in the list of engines stops all placement. TROUBLE=0 leaves the entry out. Writes record.txt.
cd "$(dirname "$0")/../.." && exec env PYTHONDONTWRITEBYTECODE=1 python3 review/1/case.py
