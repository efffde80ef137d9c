# shellcheck shell=bash
#
# Runs processes of the deploy file on loopback addresses, one address for each
# machine, and plays the platform and the operator for them. A script sources
# this file; its folder gets record.txt. What is started here is ended here.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
WORK=$(mktemp -d)

# A network of its own for each run, so that the ports are free.
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
CONTROL_PORT=8229
DIRECTORY_PORT=8230
FRONT_PORT=8227
READY_PORT=8220
PEERS_PORT=7340
METRICS_PORT=7341

RESTART_DELAY_S=0.5

declare -A PID     # machine -> process
declare -A STOPPED # machine -> 1 once the platform has removed it
declare -A ENDS    # machine -> how often its process ended by itself
declare -A ZONE

STARTED_MS=$(date +%s%3N)
: > "$RECORD"

record()
{
	printf '%7d ms  %s\n' $(($(date +%s%3N) - STARTED_MS)) "$*" >> "$RECORD"
}

elapsed_ms()
{
	echo $(($(date +%s%3N) - STARTED_MS))
}

# The case couldn't be run.
give_up()
{
	record "could not run: $*"
	echo "could not run: $*" >&2
	exit 2
}

end_all()
{
	local machine

	for machine in "${!PID[@]}"; do
		kill -KILL "${PID[$machine]}"
	done 2> /dev/null
	wait 2> /dev/null
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

address()
{
	echo "$NET.$1"
}

# The seeds: the addresses of up to three machines, as a JSON list.
seeds_json()
{
	local machine list=

	for machine in "$@"; do
		list+="${list:+,}\"$(address "$machine"):$CONTROL_PORT\""
	done
	echo "[$list]"
}

# Fills in a template of the deploy file as DEPLOY.md says.
# write_settings TEMPLATE MACHINE BOOTSTRAP SEEDS
write_settings()
{
	local ip

	ip=$(address "$2")
	mkdir -p "$WORK/$2"
	sed -e "s|{{bootstrap}}|$3|" \
		-e "s|{{zone}}|${ZONE[$2]}|" \
		-e "s|{{dataDir}}|$WORK/$2/data|" \
		-e "s|{{listen.control}}|$ip:$CONTROL_PORT|" \
		-e "s|{{listen.directory}}|$ip:$DIRECTORY_PORT|" \
		-e "s|{{listen.front}}|$ip:$FRONT_PORT|" \
		-e "s|{{listen.readyAddr}}|$ip:$READY_PORT|" \
		-e "s|{{ip}}|$ip|" \
		-e "s|{{portRange.0}}|$PEERS_PORT|" \
		-e "s|{{portRange.1}}|$METRICS_PORT|" \
		-e "s|{{seeds.json}}|$4|" \
		-e "s|{{faultTolerance.machines}}|$TOLERATED|" \
		-e "s|{{beatIntervalMs}}|$BEAT_MS|" \
		-e "s|{{bounds.stallMs}}|$STALL_MS|" \
		-e "s|{{[#]bounds.graceS}}\(.*\){{/bounds.graceS}}|\1|" \
		-e "/{{^bounds.graceS}}/d" \
		-e "s|{{bounds.graceS}}|$GRACE_S|" \
		-e "s|{{bounds.retrySlack}}|$RETRY_SLACK|" \
		"$ROOT/deploy/$1.toml.in" > "$WORK/$2/settings.toml"
	if grep -q '{{' "$WORK/$2/settings.toml"; then
		give_up "deploy/$1.toml.in has a placeholder that isn't known"
	fi
}

# Starts the process of a machine, with the command of the deploy file.
start_process()
{
	cd "$ROOT" || give_up "no $ROOT"
	target/radishdeald --settings "$WORK/$1/settings.toml" \
		>> "$WORK/$1/log" 2>&1 &
	PID[$1]=$!
}

# Starts one replica of a plain service, the project's own stand-in.
# start_replica NAME LAST_PART_OF_ADDRESS SERVICE CONTROL_MACHINE...
start_replica()
{
	local name=$1 last=$2 service=$3 controls= machine

	shift 3
	for machine in "$@"; do
		controls+="${controls:+,}$(address "$machine"):$CONTROL_PORT"
	done
	"$ROOT/target/test/fakes/fake_platform_engine" --network="$NET" \
		--first="$last" --count=1 --service="$service" \
		--controls="$controls" --heartbeat-ms="$BEAT_MS" --plain-ms=30 \
		--control="$WORK/$name.address" --log="$WORK/$name.log" \
		> "$WORK/$name.out" 2>&1 &
	PID[$name]=$!
	STOPPED[$name]=1 # it isn't watched as a process of the system is
}

# Takes note of the processes that ended by themselves, and starts them again.
watch_processes()
{
	local machine status

	for machine in "${!PID[@]}"; do
		if [ -n "${STOPPED[$machine]}" ] ||
			kill -0 "${PID[$machine]}" 2> /dev/null; then
			continue
		fi
		wait "${PID[$machine]}" 2> /dev/null
		status=$?
		ENDS[$machine]=$((${ENDS[$machine]:-0} + 1))
		record "machine $machine: its process ended by itself," \
			"status $status (time ${ENDS[$machine]})"
		sleep "$RESTART_DELAY_S"
		start_process "$machine"
	done
}

# Waits until a time of the run, in ms, and watches the processes meanwhile.
watch_until()
{
	while [ "$(elapsed_ms)" -lt "$1" ]; do
		watch_processes
		sleep 0.05
	done
}

# http MACHINE PORT METHOD TARGET [BODY]: prints the answer, if there is one
# within HTTP_LIMIT_S. A client of a front says how long it waits.
HTTP_LIMIT_S=1
http()
{
	local ip deadline=

	ip=$(address "$1")
	if [ "$2" = "$FRONT_PORT" ]; then
		deadline="Request-Deadline: $((HTTP_LIMIT_S * 1000))"$'\r\n'
	fi
	timeout "$HTTP_LIMIT_S" bash -c '
		exec 3<> "/dev/tcp/$1/$2" || exit
		printf "%s %s HTTP/1.1\r\nHost: a.example\r\n" "$3" "$4" >&3
		printf "Attempt-Id: %08x%08x\r\n" "$SRANDOM" "$SRANDOM" >&3
		printf "%sContent-Type: application/json\r\n" "$6" >&3
		printf "Content-Length: %d\r\n" "${#5}" >&3
		printf "Connection: close\r\n\r\n%s" "$5" >&3
		cat <&3' http "$ip" "$2" "$3" "$4" "$5" \
		"$deadline" 2> /dev/null | tr -d '\r'
}

status_of()
{
	sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p'
}

# The operator sends a configuration until it is acknowledged.
# put VERSION DOCUMENT UNTIL_MS MACHINE...
put()
{
	local version=$1 document=$2 until=$3 machine status

	shift 3
	while [ "$(elapsed_ms)" -lt "$until" ]; do
		for machine in "$@"; do
			status=$(http "$machine" "$CONTROL_PORT" POST \
				/v1/config/put "$document" | status_of)
			[ "$status" = 200 ] || continue
			record "version $version: acknowledged by machine $machine"
			return 0
		done
		watch_processes
		sleep 0.2
	done
	record "version $version: not acknowledged"
	return 1
}
