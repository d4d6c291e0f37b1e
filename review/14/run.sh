#!/bin/sh
# Exits with 1 if an engine gets requests later than the bound after it left, 0 if not, 2 if the case can't run.
# With TROUBLE=0, the store is never down and no machine is lost. Writes record.txt beside it.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/case-14 ] && [ -x target/release/dandelionroad-site ] || exit 2
exec target/review-3/case-14
