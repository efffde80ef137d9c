#!/bin/sh
# Prints docs/RESULTS.md from the table in include/radishdeal/result.h.
set -e
cd "$(dirname "$0")/.."
cat <<'TEXT'
# Result codes

Every refusal of a daemon, and every exit of `radishdealctl`, comes from this
table. A code keeps its meaning for good; new ones go to the end of their
group. Over HTTP a refusal is `application/problem+json` (RFC 9457) with the
fields `code`, `outcome` and, for requests, `request`. `outcome` is `not-run`
only if no part of the request can have been acted on, else `unknown`.

| code | name | HTTP | exit | meaning |
|---|---|---|---|---|
TEXT
awk '/define RD_RESULT_TABLE/ { on = 1; next }
     on { text = text $0 } on && !/\\$/ { exit }
     END { gsub(/\\/, " ", text); gsub(/[ \t]+/, " ", text); print text }' \
	include/radishdeal/result.h |
	sed 's/ X(/\nX(/g' | grep '^X(' |
	sed -E 's/^X\(([A-Z_]+), ([0-9]+), "([^"]*)", ([0-9]+), ([0-9]+), "([^"]*)"\).*/| \2 | `\3` | \4 | \5 | \6 |/'
