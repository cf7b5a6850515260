#!/bin/sh
# Fails when a name of the platform's wire stands outside platform/ and deploy/.
set -u
names='(^|[^a-z-])Hazelford-(Not-Executed|Response-Seal|Expect-|Token-Usage|Prompt-Prefix|Request-Priority|Deadline-Ms)|kv-(txn|range|watch|lease|keep)|op/(config|version)|expect-revision|path-prefix'
found=$(git grep -niE "$names" -- 'packages/**/*.ts' ':!packages/**/generated/**' || true)
[ -z "$found" ] && exit 0
echo "Wire names of the platform outside platform/:"
echo "$found"
exit 1
