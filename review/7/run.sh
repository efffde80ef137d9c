#!/bin/bash
#
# Replaces the machines of the core, two at a time, as often as it takes until
# the group has had 33 members. TROUBLE=0: the same time without a replacement.

# Those of esh-mastering-grown, read by lib-2/deploy.sh.
# shellcheck disable=SC2034
TOLERATED=2 BEAT_MS=1200 STALL_MS=5000
CATCH_UP_MS=6000
CONTACT_MS=4000

# shellcheck source=review/lib-2/deploy.sh
. "$(dirname "$0")/../lib-2/deploy.sh"

# The deploy file runs the role on half of the nine machines, rounded up in each
# of the three zones.
MACHINES=6
ZONES=3
# Two at a time are 28 replacements; the first members are 6.
ROUNDS=14
ROUND_MS=$((CATCH_UP_MS + 50))
# The run ends here, or as soon as the rule is broken.
END_MS=113000
# Fault: processes end by themselves three times on half of the core.
FAULT_ENDS=3
FAULT_MACHINES=$((MACHINES / 2))

core=() # the machines of the core, the oldest first
next=1

# A small configuration.
document() # VERSION
{
	cat <<- EOF
	{"version":$1,"routes":[{"name":"r-1","host":"a.example",
	"pathPrefix":"/a/","kind":"safe","timeoutMs":1500,"priority":2,
	"service":"plain-1","maxAttempts":2,"authExempt":true}],
	"services":[{"name":"plain-1","healthPath":"/health","maxConns":96,
	"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,
	"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}
	EOF
}

add_machine() # BOOTSTRAP SEED_MACHINE...
{
	local bootstrap=$1

	shift
	ZONE[$next]=zone-$((next % ZONES))
	write_settings control "$next" "$bootstrap" "$(seeds_json "$@")"
	start_process "$next"
	core+=("$next")
	next=$((next + 1))
}

# The machine never comes back.
remove_oldest()
{
	local old=${core[0]}

	STOPPED[$old]=1
	kill -TERM "${PID[$old]}"
	record "machine $old: SIGTERM; it is removed for good"
	core=("${core[@]:1}")
}

replace_two()
{
	local seeds=("${core[@]:3:3}")

	record "machines $next and $((next + 1)): started, with empty disks"
	add_machine false "${seeds[@]}"
	add_machine false "${seeds[@]}"
	remove_oldest
	remove_oldest
}

machines_with_fault()
{
	local machine count=0

	for machine in "${!ENDS[@]}"; do
		if [ "${ENDS[$machine]}" -ge "$FAULT_ENDS" ]; then
			count=$((count + 1))
		fi
	done
	echo "$count"
}

for ((i = 0; i < MACHINES; i++)); do
	add_machine true 1 2 3
done
put 1 "$(document 1)" 10000 "${core[@]}" || give_up "the first configuration isn't taken"

watch_until "$ROUND_MS"
begin=$(elapsed_ms)
for ((round = 0; round < ROUNDS; round++)); do
	if [ "${TROUBLE:-1}" != 0 ]; then
		replace_two
	fi
	watch_until $((begin + (round + 1) * ROUND_MS))
	[ "$(machines_with_fault)" -lt "$FAULT_MACHINES" ] || break
done

put 2 "$(document 2)" $(($(elapsed_ms) + 5000)) "${core[@]}"
broken=0
while [ "$(elapsed_ms)" -lt "$END_MS" ]; do
	watch_processes
	if [ "$(machines_with_fault)" -ge "$FAULT_MACHINES" ]; then
		broken=1
		break
	fi
	[ "${TROUBLE:-1}" != 0 ] || [ "${#ENDS[@]}" != 0 ] || break
	sleep 0.05
done

for machine in "${core[@]}"; do
	record "machine $machine: ended by itself ${ENDS[$machine]:-0} times;" \
		"read back: $(http "$machine" "$CONTROL_PORT" GET /v1/config/get | status_of)"
done
record "machines of the core with $FAULT_ENDS such ends or more:" \
	"$(machines_with_fault) of ${#core[@]}"
if [ "$broken" = 1 ]; then
	record "Fault: broken"
	exit 1
fi
record "Fault: kept"
exit 0
