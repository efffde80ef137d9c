/*
 * Entries before three replicas of a plain service, of which one fails some
 * requests with status 500 and two lose the answers of some. One entry loses
 * its path to the replicas, and sends its requests through other entries.
 *
 * The rule is broken if a client gets a failure with a replica's seal and
 * another status than a replica gave for that request.
 */
#define _GNU_SOURCE
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../lib/rv.h"

#define SERVICE "shop"
#define REPLICAS 3
#define ENTRIES 4
#define CUT_ENTRY (RV_CONTROLS + 1)
#define CLIENTS 8
#define PAUSE_S 0.03
#define WORK_S 0.03
#define WARM_UP_S 5.0
#define BEFORE_S 5.0
#define CUT_S 10.0 /* as long as a srv_cut of the site file */
#define CUTS 3
#define AFTER_S 5.0
#define FAILED_SHARE 0.45 /* srv_grey */
#define LOST_SHARE 0.4	  /* answer_lost, of two of three replicas */
#define REQUESTS_MAX 60000

static const char config[] =
	"{\"version\":1,\"routes\":[{\"name\":\"r-browse\",\"host\":"
	"\"shop.example\",\"pathPrefix\":\"/browse/\",\"kind\":\"safe\","
	"\"timeoutMs\":4000,\"targetLatencyMs\":300,\"priority\":2,"
	"\"service\":\"" SERVICE "\",\"maxAttempts\":2,\"authExempt\":false,"
	"\"sticky\":false}],\"services\":[{\"name\":\"" SERVICE "\","
	"\"healthPath\":\"/health\",\"maxConns\":110,\"protocol\":\"h1\","
	"\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
	"\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
	"\"idleTimeoutMs\":15000}}";

/** What replicas have done with a request. */
struct outcome {
	int runs, failed; /* with status 500 */
};

static struct outcome outcomes[REQUESTS_MAX];
static int requests, wrong;
static volatile bool cut, stop;

static void reset(const struct rv_request *request, const char *why,
		  const struct rv_replica *replica)
{
	rv_say("%s %s at %s", why, request->id, replica->id);
	rv_reset(request);
}

static bool reaches(const char *ip, int port)
{
	return !cut || !rv_socket_is_of(CUT_ENTRY, ip, port);
}

static bool serve(struct rv_replica *replica, const struct rv_request *request)
{
	long kind = (long)replica->ctx;
	int number = atoi(request->id + 1) % REQUESTS_MAX;

	if (!reaches(request->peer_ip, request->peer_port)) {
		rv_reset(request);
		return false;
	}
	__sync_fetch_and_add(&outcomes[number].runs, 1);
	rv_sleep(WORK_S);
	if (!kind && rv_trouble() && rv_random() < FAILED_SHARE) {
		__sync_fetch_and_add(&outcomes[number].failed, 1);
		rv_say("run %s at %s: 500", request->id, replica->id);
		return rv_respond(request, "500 Internal Server Error", "no");
	}
	if (kind && rv_trouble() && rv_random() < LOST_SHARE) {
		reset(request, "run, answer lost", replica);
		return false;
	}
	rv_say("run %s at %s: 200", request->id, replica->id);
	return rv_respond(request, "200 OK", "stock");
}

static void check(int number, const struct rv_answer *answer)
{
	char seal[64];

	if (!answer->head || answer->status < 300 ||
	    !rv_header(answer->head, "Response-Seal", seal, sizeof(seal)))
		return;
	if (answer->status == 500 && outcomes[number].failed)
		return;
	__sync_fetch_and_add(&wrong, 1);
	rv_say("BROKEN: r%d is answered %d with the seal %s; the replicas ran "
	       "it %d times and answered 500 %d times",
	       number, answer->status, seal, outcomes[number].runs,
	       outcomes[number].failed);
}

static void *run_client(void *arg)
{
	(void)arg;
	while (!stop) {
		int number = __sync_fetch_and_add(&requests, 1);
		struct rv_answer answer;
		char text[512];

		if (number >= REQUESTS_MAX)
			break;
		snprintf(text, sizeof(text),
			 "GET /browse/%d HTTP/1.1\r\nHost: shop.example\r\n"
			 "Attempt-Id: r%d\r\nRequest-Deadline: 4000\r\n"
			 "Connection: close\r\n\r\n",
			 number, number);
		rv_say("sent r%d to node %d", number, CUT_ENTRY);
		rv_exchange(rv_address(CUT_ENTRY, RV_FRONT), text, strlen(text),
			    5000, &answer);
		rv_say("answered r%d: %d %s", number, answer.status,
		       answer.why ? answer.why : "");
		check(number, &answer);
		rv_answer_clear(&answer);
		rv_sleep(PAUSE_S);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	if (argc != 2)
		return 2;
	rv_open(argv[1], 115);
	rv_reaches = reaches;
	rv_start_system(ENTRIES);
	rv_put_config(config);
	for (long i = 0; i < REPLICAS; i++)
		rv_start_replica(SERVICE, serve, (void *)i);
	rv_sleep(WARM_UP_S);
	for (int i = 0; i < CLIENTS; i++) {
		pthread_t thread;

		pthread_create(&thread, NULL, run_client, NULL);
	}
	for (int i = 0; i < CUTS; i++) {
		rv_sleep(BEFORE_S);
		cut = rv_trouble();
		rv_say("node %d %s its path to the replicas", CUT_ENTRY,
		       cut ? "loses" : "keeps");
		rv_sleep(CUT_S);
		cut = false;
		rv_say("the path is there");
	}
	rv_sleep(AFTER_S);
	stop = true;
	rv_sleep(1);
	rv_say("%d requests, %d failures with a seal of another status",
	       requests, wrong);
	rv_exit(wrong > 0);
}
