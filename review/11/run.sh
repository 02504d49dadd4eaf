#!/bin/sh
# Two servers of twelve are cut off from all machines for 1.6 s, three times; their channels are reset.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
[ -x target/review-3/rig ] && [ -x target/node/whinspring-node ] || exit 2
exec target/review-3/rig cut-servers "$case"
