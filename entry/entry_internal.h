/**
 * @file
 * Shared state and internal interfaces of the entry's modules. Everything here
 * runs on the entry task.
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

#include "common/room.h"
#include "common/http.h"
#include "entry/entry.h"
#include "entry/pauses.h"
#include "entry/upstream.h"

#define REQUEST_ID_MAX 64

struct call;
struct call_class;
struct ends;
struct leaving;
struct limits;
struct parts;
struct reach;
struct relay;

/** Per-service state of this entry. */
struct entry_service {
	struct entry *entry;
	char *name;
	bool seen;	/* present in the configuration just applied */
	uint32_t calls; /* not yet ended, in any state */
	uint64_t revision;
	double mean_output; /* tokens per response, smoothed */
	/** This entry's share of the retry budget of the service's pool. */
	struct retry_budget retry_budget;
	struct demand demand;
	uint32_t overdue_awaiting_first; /* overdue calls without first event */
	struct estimate first_byte;	 /* ms from dispatch to first byte */
	struct engine_spec engine;	 /* passed to `policy` */
	struct router_policy policy;
	struct router *router;
	struct admission *admission;
	struct reach *reach;	   /* of its endpoints, by this entry */
	GHashTable *plain_numbers; /* VM name -> endpoint number */
	GHashTable *plain_names;   /* endpoint number -> VM name */
	uint32_t next_plain_number;
};

/** The planned stop of an entry; all zero unless there is one. */
struct shutdown {
	task_fn done; /* NULL once called */
	void *arg;
	int64_t began_ms;
	int64_t reject_from_ms; /* end of limits.linger_ms */
	int64_t deadline_ms;	/* end of limits.drain_ms */
	bool lingered;		/* reject_from_ms has been handled */
	bool drained;		/* deadline_ms has passed with open calls */
};

struct entry {
	struct entry_opts opts;
	struct event_base *base;
	struct state *config;
	int64_t lease_until_ms;
	bool ever_configured;
	bool draining;			  /* not advertised to callers */
	struct entry_info *known_entries; /* reported by control */
	uint32_t known_entry_count;
	struct monitor *monitor;
	struct view *view;
	uint64_t health_version; /* view_version() at the last health update */
	bool full_digest_due;
	GHashTable *services;	  /* name -> struct entry_service */
	GHashTable *calls;	  /* set of struct call */
	GHashTable *call_classes; /* name -> struct call_class */
	struct ends *ends;	  /* of replicas */
	struct parts *parts;	  /* of prompts */
	struct limits *limits;	  /* of endpoints */
	struct leaving *leaving;  /* endpoints, by their answers */
	struct relay *relay;	  /* to other entries */
	GHashTable *unrecorded; /* outcomes of bookings, to be recorded again */
	uint32_t open_records;	/* these, and those that are being recorded */
	struct upstream_pool *pool;	 /* connections to endpoints */
	struct upstream_pool *peer_pool; /* connections to other entries */
	struct room answers;		 /* of endpoints, not whole yet */
	struct routes *routes; /* of the deployment; NULL before there is one */
	GQueue held_requests;  /* of struct held_request */
	int64_t started_ms;
	struct pauses pauses;	  /* of this process */
	void *driver;		  /* of opts.driver; NULL for none */
	struct evhttp *callers;	  /* native interface; NULL with a driver */
	struct evhttp *endpoints; /* as `callers` */
	char callers_address[64];
	char endpoints_address[64];
	struct event *tick;
	struct event *digest_timer;
	struct event *dispatch_event;
	uint64_t next_claim;
	uint64_t next_request;
	GRand *random;
	struct shutdown shutdown;
	int64_t status_sent_ms;
};

int64_t entry_now_ms(const struct entry *entry);
int64_t entry_now_us(const struct entry *entry);

/**
 * Whether the configuration is known to be in force, that is, its lease has not
 * expired.
 */
bool entry_has_lease(const struct entry *entry);

/** Returns the nodes of the known entries, as an array of uint32_t. */
GArray *entry_list_nodes(const struct entry *entry);

/** Schedules a dispatch of queued calls on the next loop iteration. */
void entry_schedule_dispatch(struct entry *entry);

/** Posts this entry's status to the control task. */
void entry_send_status(struct entry *entry);

/**
 * Sends a digest of the changes since the last one, or of everything if
 * full_digest_due.
 */
void entry_send_digest(struct entry *entry);

/* services.c */

/** Applies the configuration to the services, their accounts and replicas. */
void services_update(struct entry *entry);

/** Updates the health of replicas and of plain services' endpoints. */
void services_update_health(struct entry *entry);

/** Rejects expired queued calls and dispatches others while replicas accept. */
void services_dispatch_queued(struct entry *entry);

/** Updates a replica's load from its head VM's report; ignores other VMs. */
void services_update_load(struct entry *entry, const struct vm_report *report);

/**
 * Updates the prefixes that a replica has cached from its head VM's report;
 * ignores other VMs. `cache` may be NULL.
 */
void services_update_cache(struct entry *entry, const struct vm_report *report,
			   json_t *cache);

/** Returns the service with a name, or NULL. */
struct entry_service *services_find(const struct entry *entry,
				    const char *name);

void entry_service_free(gpointer service);

/**
 * Returns the name of a replica's head VM, which accepts its requests;
 * borrowed, NULL if unknown.
 */
const char *services_head_vm(const struct entry_service *service,
			     uint32_t replica);

/**
 * Returns this entry's outstanding requests per replica, as an array of struct
 * replica_load, for services that specify their engine's timings. Such engines
 * report no load themselves.
 */
GArray *services_collect_loads(const struct entry *entry);

/**
 * Returns the recent demand per service, as an array of struct service_demand,
 * for services that specify their engine's timings.
 */
GArray *services_collect_demands(const struct entry *entry);

/**
 * Replaces the outstanding requests that all other entries have at replicas.
 */
void services_apply_peer_loads(struct entry *entry,
			       const struct replica_load *loads,
			       uint32_t count);

/**
 * Marks replicas as suspect that have sent nothing for limits.stall_ms.
 */
void services_check_stalls(struct entry *entry);

/* routes.c */
struct routes *routes_create(const struct deployment *deployment);
void routes_destroy(struct routes *routes);

/** Returns the route with the longest matching path prefix, or NULL. */
const struct route_spec *routes_find(const struct routes *routes,
				     const char *host, const char *path);

/** Returns the client account that an API key belongs to, or NULL. */
const struct client_account *routes_account(const struct routes *routes,
					    const char *key);

/* callers.c */
void callers_handle(struct evhttp_request *req, void *ctx);

/* addresses.c */
void addresses_handle(struct entry *entry, struct evhttp_request *req);
json_t *addresses_json(struct entry *entry);
json_t *addresses_monitors(struct entry *entry, const char *vm);

/* announce.c */
void announce_handle(struct evhttp_request *req, void *ctx);

#endif
