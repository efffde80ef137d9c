/**
 * @file
 * The entry task's parts and what they share. All on the entry task.
 */
#ifndef ENTRY_ENTRY_INTERNAL_H
#define ENTRY_ENTRY_INTERNAL_H

#include <event2/http.h>
#include <jansson.h>

#include <radishdeal/admission.h>
#include <radishdeal/demand.h>
#include <radishdeal/estimate.h>
#include <radishdeal/evidence.h>
#include <radishdeal/repeats.h>
#include <radishdeal/router.h>

#include "common/http.h"
#include "entry/entry.h"
#include "entry/upstream.h"

#define REQUEST_ID_MAX 64

struct call;

/** A service as this entry serves it. */
struct entry_service {
	struct entry *entry;
	char *name;
	bool seen; /* in the configuration just applied */
	uint64_t revision;
	double mean_output; /* tokens of an answer, smoothed */
	struct retry_budget
		retry_budget; /* its part of what its pool may repeat */
	struct demand demand;
	uint32_t late_unread;  /* late requests sent, without a first event */
	struct estimate first; /* from sending to the answer's first bytes */
	struct engine_spec engine; /* for the policy */
	struct router_policy policy;
	struct router *router;
	struct admission *admission;
	GHashTable *plain; /* VM's name -> replica number; plain services */
	GHashTable *plain_names; /* replica number -> VM's name */
	uint32_t next_plain;
};

struct entry {
	struct entry_opts opts;
	struct event_base *base;
	struct state *config;
	int64_t lease_until_ms;
	bool ever_configured;
	bool draining;		   /* no longer named to callers */
	bool refusing;		   /* takes no new work */
	struct entry_info *others; /* entries to name to callers */
	uint32_t other_count;
	struct monitor *monitor;
	struct view *view;
	uint64_t judged_version; /* of the view, when replicas were judged */
	bool want_full;
	GHashTable *services; /* name -> struct entry_service */
	GHashTable *calls;    /* set of struct call */
	struct upstream_pool *pool;
	struct routes *routes; /* of the deployment; NULL without one */
	GQueue early;	       /* of struct early, while there is none */
	int64_t began_ms;
	void *driver; /* of opts.driver; NULL without one */
	struct evhttp *callers;
	struct evhttp *endpoints;
	char callers_address[64];
	char endpoints_address[64];
	struct event *tick;
	struct event *digest_timer;
	struct event *pump;
	uint64_t next_claim;
	uint64_t next_request;
	GRand *random;
	task_fn leave_done;
	void *leave_arg;
	int64_t leave_until_ms;
	int64_t refuse_from_ms; /* while leaving */
	int64_t status_sent_ms;
};

int64_t entry_now_ms(const struct entry *entry);
int64_t entry_now_us(const struct entry *entry);

/** Whether this entry may know which configuration is in force. */
bool entry_has_lease(const struct entry *entry);

/** Asks for waiting calls to be looked at, soon. */
void entry_want_pump(struct entry *entry);

/** Tells the control task how this entry is doing. */
void entry_send_status(struct entry *entry);

/** Sends what changed since the last digest. */
void entry_send_digest(struct entry *entry);

/* services.c */
void services_update(struct entry *entry);
void services_judge(struct entry *entry);
void services_pump(struct entry *entry);
void services_load(struct entry *entry, const struct vm_report *report);
void services_cache(struct entry *entry, const struct vm_report *report,
		    json_t *cache);
struct entry_service *services_find(const struct entry *entry,
				    const char *name);
void service_drop(gpointer service);

/** The VM that serves a replica's requests, by name; borrowed, or NULL. */
const char *services_head(const struct entry_service *service,
			  uint32_t replica);

/** What this entry has at replicas whose engines report no load. */
GArray *services_loads(const struct entry *entry);

/** What callers lately asked of services whose engines are known. */
GArray *services_demands(const struct entry *entry);

/** Takes what all other entries have there. */
void services_take_loads(struct entry *entry, const struct replica_load *loads,
			 uint32_t count);

/** Gives up on replicas that have answered nothing for too long. */
void services_watch(struct entry *entry);

/* routes.c */
struct routes *routes_create(const struct deployment *deployment);
void routes_destroy(struct routes *routes);

/** The route with the longest prefix that begins the path, or NULL. */
const struct route_spec *routes_find(const struct routes *routes,
				     const char *host, const char *path);

/** The account that holds a key, or NULL. */
const struct client_account *routes_account(const struct routes *routes,
					    const char *key);

/* callers.c */
void callers_handle(struct evhttp_request *req, void *ctx);

/* addresses.c */
void addresses_answer(struct entry *entry, struct evhttp_request *req);
json_t *addresses_json(struct entry *entry);
json_t *addresses_homes(struct entry *entry, const char *vm);

/* announce.c */
void announce_handle(struct evhttp_request *req, void *ctx);

#endif
