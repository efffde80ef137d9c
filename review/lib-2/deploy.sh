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

# Fills in deploy/control.toml.in as DEPLOY.md says.
# write_settings MACHINE BOOTSTRAP SEEDS
write_settings()
{
	local ip

	ip=$(address "$1")
	mkdir -p "$WORK/$1"
	sed -e "s|{{bootstrap}}|$2|" \
		-e "s|{{zone}}|${ZONE[$1]}|" \
		-e "s|{{dataDir}}|$WORK/$1/data|" \
		-e "s|{{listen.control}}|$ip:$CONTROL_PORT|" \
		-e "s|{{listen.directory}}|$ip:$DIRECTORY_PORT|" \
		-e "s|{{ip}}|$ip|" \
		-e "s|{{portRange.0}}|$PEERS_PORT|" \
		-e "s|{{portRange.1}}|$METRICS_PORT|" \
		-e "s|{{seeds.json}}|$3|" \
		-e "s|{{faultTolerance.machines}}|$TOLERATED|" \
		-e "s|{{beatIntervalMs}}|$BEAT_MS|" \
		-e "s|{{bounds.stallMs}}|$STALL_MS|" \
		"$ROOT/deploy/control.toml.in" > "$WORK/$1/settings.toml"
	if grep -q '{{' "$WORK/$1/settings.toml"; then
		give_up "deploy/control.toml.in has a placeholder that isn't known"
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

# http MACHINE METHOD PATH [BODY]: prints the answer. 408: none within a second.
http()
{
	local ip

	ip=$(address "$1")
	timeout 1 bash -c '
		exec 3<> "/dev/tcp/$1/$2" || exit
		printf "%s %s HTTP/1.1\r\nHost: control\r\n" "$3" "$4" >&3
		printf "Content-Type: application/json\r\n" >&3
		printf "Content-Length: %d\r\n" "${#5}" >&3
		printf "Connection: close\r\n\r\n%s" "$5" >&3
		cat <&3' http "$ip" "$CONTROL_PORT" "$2" "$3" "$4" \
		2> /dev/null | tr -d '\r'
}

status_of()
{
	sed -n '1s/^HTTP[^ ]* \([0-9]*\).*/\1/p'
}

# A small configuration. document VERSION
document()
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

# The operator sends a configuration until it is acknowledged.
# put VERSION UNTIL_MS MACHINE...
put()
{
	local version=$1 until=$2 machine status

	shift 2
	while [ "$(elapsed_ms)" -lt "$until" ]; do
		for machine in "$@"; do
			status=$(http "$machine" POST /v1/config/put \
				"$(document "$version")" | status_of)
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
