/*
 * Two machines of the core are replaced, as planned work: two empty machines
 * are added first, at new addresses, and have more than catchUpS. Then two of
 * the old ones are removed for good with SIGTERM, the second one second after
 * the first has ended. Without the disruption, ten seconds lie between.
 *
 * The rule is broken if the configuration that was acknowledged before can't be
 * read any more: no machine that serves control answers with it, from recoverS
 * after the last removal on.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/rv.h"

#define ENTRIES 1
#define FIRST_ADDED 8
#define SECOND_ADDED 9
#define FORMED_S 5.0
#define CAUGHT_UP_S 10.0 /* catchUpS is 4 */
#define GAP_S 1.0
#define GAP_WITHOUT_TROUBLE_S 10.0
#define RECOVER_S 12.0
#define READ_S 20.0 /* how long reads are tried after that */
#define REDIRECTS 2

static const char config[] =
	"{\"version\":%d,\"routes\":[{\"name\":\"r-hold\",\"host\":"
	"\"shop.example\",\"pathPrefix\":\"/hold/\",\"kind\":\"unsafe\","
	"\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,"
	"\"service\":\"shop\",\"maxAttempts\":2,\"authExempt\":false,"
	"\"sticky\":false}],\"services\":[{\"name\":\"shop\","
	"\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\","
	"\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

static void put(int version)
{
	char text[2048];

	snprintf(text, sizeof(text), config, version);
	rv_say("version %d is sent", version);
	rv_put_config(text);
}

/* Reads the configuration at a node; returns its version, or 0. */
static int read_version(int node)
{
	static const char request[] = "GET /v1/config/get HTTP/1.1\r\nHost: "
				      "control\r\nConnection: close\r\n\r\n";
	struct rv_answer answer;
	char address[128], location[128];
	int status = 0, version = 0;
	const char *at;

	snprintf(address, sizeof(address), "%s", rv_address(node, RV_CONTROL));
	for (int i = 0; i <= REDIRECTS; i++) {
		rv_exchange(address, request, strlen(request), 1000, &answer);
		status = answer.status;
		at = status == 200 ? strstr(answer.body, "\"version\":") : NULL;
		if (at)
			version = atoi(at + strlen("\"version\":"));
		if (status != 307 || !rv_header(answer.head, "Location",
						location, sizeof(location)))
			break;
		/* http://ADDRESS/path */
		snprintf(address, sizeof(address), "%.*s",
			 (int)strcspn(location + 7, "/"), location + 7);
		rv_answer_clear(&answer);
	}
	rv_say("read at node %d: status %d, version %d%s%s", node, status,
	       version, answer.why ? ", " : "", answer.why ? answer.why : "");
	rv_answer_clear(&answer);
	return version;
}

static bool is_readable(int version)
{
	static const int remaining[] = { 3, FIRST_ADDED, SECOND_ADDED };

	for (int i = 0; i < 3; i++)
		if (read_version(remaining[i]) >= version)
			return true;
	return false;
}

int main(int argc, char **argv)
{
	double until;
	bool readable = false;

	if (argc != 2)
		return 2;
	rv_open(argv[1], 110);
	rv_start_system(ENTRIES);
	put(1);
	rv_sleep(FORMED_S);
	rv_add_control(FIRST_ADDED);
	rv_add_control(SECOND_ADDED);
	rv_sleep(CAUGHT_UP_S);
	put(2);
	if (!is_readable(2))
		rv_cannot("version 2 can't be read before the removals");
	rv_remove_control(1);
	rv_sleep(rv_trouble() ? GAP_S : GAP_WITHOUT_TROUBLE_S);
	rv_remove_control(2);
	rv_sleep(RECOVER_S);
	for (until = rv_now() + READ_S; !readable && rv_now() < until;) {
		readable = is_readable(2);
		rv_sleep(0.5);
	}
	if (!readable)
		rv_say("BROKEN: version 2 was acknowledged, and no machine "
		       "answers with it from %.0f to %.0f s after the last "
		       "removal",
		       RECOVER_S, RECOVER_S + READ_S);
	rv_exit(!readable);
}
