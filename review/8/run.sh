#!/bin/bash
#
# A machine of the core is replaced as planned: the new one starts first and runs
# for a while, then the old one gets its SIGTERM. As the old process has ended,
# another machine of the core loses its disk. TROUBLE=0: no disk is lost.

# Those of kalreef-forum, read by lib-2/deploy.sh.
# shellcheck disable=SC2034
TOLERATED=1 BEAT_MS=1200 STALL_MS=5000
CATCH_UP_MS=4000
RECOVER_MS=12000

# shellcheck source=review/lib-2/deploy.sh
. "$(dirname "$0")/../lib-2/deploy.sh"

CORE=(1 2 3)
NEW=4
OLD=1  # the machine that it replaces
LOST=2 # the machine that loses its disk
AFTER_MS=${AFTER_MS:-0} # from the old process's end to the loss of the disk
DOWN_MS=1000
# The new machine runs for more than twice as long as it counts as lost.
NEW_RUNS_MS=$((2 * CATCH_UP_MS + 2000))
# Reads go on for so long after RECOVER_MS.
READS_MS=20000

DOCUMENT='{"version":1,"routes":[{"name":"r-1","host":"a.example",
"pathPrefix":"/a/","kind":"safe","timeoutMs":4000,"priority":2,
"service":"app","maxAttempts":2,"authExempt":true}],
"services":[{"name":"app","healthPath":"/health","maxConns":110,
"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'

start_machine() # MACHINE BOOTSTRAP SEED_MACHINE...
{
	local machine=$1 bootstrap=$2

	shift 2
	ZONE[$machine]=zone-$((machine % 3))
	write_settings control "$machine" "$bootstrap" "$(seeds_json "$@")"
	start_process "$machine"
}

# The status of a read of the configuration; redirects are followed by asking
# all machines.
reads()
{
	local machine

	for machine in 2 3 4; do
		echo "$machine:$(http "$machine" "$CONTROL_PORT" GET \
			/v1/config/get | status_of)"
	done | tr '\n' ' '
}

for machine in "${CORE[@]}"; do
	start_machine "$machine" true "${CORE[@]}"
done
put 1 "$DOCUMENT" 10000 "${CORE[@]}" ||
	give_up "the first configuration isn't taken"
watch_until $((CATCH_UP_MS + 1000))

start_machine "$NEW" false "${CORE[@]}"
record "machine $NEW: started, with an empty disk"
watch_until $(($(elapsed_ms) + NEW_RUNS_MS))
record "reads (machine:status): $(reads)"

STOPPED[$OLD]=1
record "machine $OLD: SIGTERM; it is removed for good"
kill -TERM "${PID[$OLD]}"
wait "${PID[$OLD]}" 2> /dev/null
record "machine $OLD: its process has ended"
if [ "${TROUBLE:-1}" != 0 ]; then
	sleep "$(printf '%d.%03d' $((AFTER_MS / 1000)) $((AFTER_MS % 1000)))"
	STOPPED[$LOST]=1
	kill -KILL "${PID[$LOST]}"
	wait "${PID[$LOST]}" 2> /dev/null
	rm -rf "$WORK/$LOST/data"
	record "machine $LOST: lost its disk"
	watch_until $(($(elapsed_ms) + DOWN_MS))
	start_machine "$LOST" false 2 3 4
	unset "STOPPED[$LOST]"
	record "machine $LOST: back, with an empty disk"
fi

watch_until $(($(elapsed_ms) + RECOVER_MS))
record "$RECOVER_MS ms after; from here on the configuration has to be read"
until=$(($(elapsed_ms) + READS_MS))
read_back=0
while [ "$(elapsed_ms)" -lt "$until" ]; do
	statuses=$(reads)
	record "reads (machine:status): $statuses"
	case $statuses in
	*:200*)
		read_back=1
		break
		;;
	esac
	sleep 1
done
record "processes that ended by themselves: ${#ENDS[@]}"
if [ "$read_back" = 0 ]; then
	record "LOST: broken"
	exit 1
fi
record "LOST: kept"
exit 0
