#!/bin/bash
#
# An operator rolls out releases: each version names the services anew, by their
# release, and moves the routes to them. After some versions, the last one too, a
# client asks the front for a route of the newest version.
# TROUBLE=0: as many versions with as many routes, but the services keep their
# names.

# Those of esh-mastering, read by lib-2/deploy.sh.
# shellcheck disable=SC2034
TOLERATED=1 BEAT_MS=1200 STALL_MS=5000 GRACE_S=8 RETRY_SLACK=130
CONFIG_APPLY_MS=2000

# shellcheck source=review/lib-2/deploy.sh
. "$(dirname "$0")/../lib-2/deploy.sh"

CORE=(1 2 3)
FRONT=10
SERVICES=20
VERSIONS=210
CHECKED=(140 210) # the versions after which the client asks
REQUESTS=10
RESTART_WAIT_MS=8000

# The release of a version's services.
release_of()
{
	if [ "${TROUBLE:-1}" = 0 ]; then
		echo 1
	else
		echo "$1"
	fi
}

document() # VERSION
{
	local i routes=() services=() release

	release=$(release_of "$1")
	for ((i = 1; i <= SERVICES; i++)); do
		routes+=("$(printf '{"name":"r-%d","host":"a.example",%s%s%s}' \
			"$i" "\"pathPrefix\":\"/release-$1/app-$i/\"," \
			"\"kind\":\"safe\",\"timeoutMs\":1500,\"maxAttempts\":2," \
			"\"service\":\"app-$i-$release\",\"authExempt\":true")")
		services+=("$(printf '{"name":"app-%d-%s",%s%s}' "$i" "$release" \
			'"healthPath":"/health","maxConns":96,' \
			'"protocol":"h1","tls":false')")
	done
	printf '{"version":%s,"routes":[%s],"services":[%s],"limits":{%s%s}}' \
		"$1" "$(IFS=,; echo "${routes[*]}")" \
		"$(IFS=,; echo "${services[*]}")" \
		'"maxHeaderBytes":16384,"maxBodyBytes":4194304,' \
		'"headerTimeoutMs":3000,"idleTimeoutMs":15000'
}

# The answers to requests on a route that a version added, more than
# CONFIG_APPLY_MS after its acknowledgement.
statuses_of() # VERSION
{
	local i

	for ((i = 0; i < REQUESTS; i++)); do
		http "$FRONT" "$FRONT_PORT" GET "/release-$1/app-1/x" | status_of
	done | sort | uniq -c | tr -s ' \n' ' '
}

# A 404 is as an older version has it: the route is there.
broken=0
check_newest() # VERSION
{
	local statuses

	watch_until $(($(elapsed_ms) + CONFIG_APPLY_MS + 200))
	statuses=$(statuses_of "$1")
	record "version $1: the front's answers on a route of it (times status):" \
		"$statuses"
	case $statuses in
	*' 404'*) broken=1 ;;
	esac
}

for machine in "${CORE[@]}"; do
	ZONE[$machine]=zone-$machine
	write_settings control "$machine" true "$(seeds_json "${CORE[@]}")"
	start_process "$machine"
done
ZONE[$FRONT]=zone-1
write_settings entry "$FRONT" true "$(seeds_json "${CORE[@]}")"
start_process "$FRONT"
for version in "${CHECKED[@]}"; do
	start_replica "replica-$version" "$version" \
		"app-1-$(release_of "$version")" "${CORE[@]}"
done

for ((version = 1; version <= VERSIONS; version++)); do
	put "$version" "$(document "$version")" \
		$(($(elapsed_ms) + 10000)) "${CORE[@]}" ||
		give_up "version $version isn't taken"
	case " ${CHECKED[*]} " in
	*" $version "*) check_newest "$version" ;;
	esac
done

# Not judged: what the front does after a planned restart.
kill -TERM "${PID[$FRONT]}"
wait "${PID[$FRONT]}" 2> /dev/null
start_process "$FRONT"
watch_until $(($(elapsed_ms) + RESTART_WAIT_MS))
record "the front, $RESTART_WAIT_MS ms after a restart: ready" \
	"$(http "$FRONT" "$READY_PORT" GET /v1/readiness | status_of)," \
	"answers $(statuses_of "$VERSIONS")"

record "processes that ended by themselves: ${#ENDS[@]}"
if [ "$broken" = 1 ]; then
	record "CONFIG: broken"
	exit 1
fi
record "CONFIG: kept"
exit 0
