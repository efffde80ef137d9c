/**
 * @file
 * A fake model engine: VMs that carry out orders, form replicas, and serve
 * requests by continuous batching. All in one event loop.
 */
#ifndef TEST_FAKES_ENGINE_H
#define TEST_FAKES_ENGINE_H

#include <stdio.h>

#include "common/http.h"
#include "test/fakes/announcer.h"

struct engine;
struct batch;

struct engine_opts {
	const char *host;
	int step_us;	       /* decode step of an empty batch */
	int prefill_us;	       /* prefill of one prompt token */
	int load_ms;	       /* time to load weights */
	int max_loads;	       /* concurrent loads from the weight store */
	int cache_blocks;      /* prompt blocks that a replica caches */
	int cache_report_loss; /* every Nth cache report is lost; 0 for none */
	bool checks_fencing;
	const char *log_path; /* NULL for none */
	/** Ends each VM that begins to answer a prompt with it; or NULL. */
	const char *crash_text;
};

struct engine_vm {
	struct engine *engine;
	char name[64];
	char data_centre[64];
	char domain[64];
	char address[64];
	int accelerators;
	struct evhttp *http;
	struct announcer *announcer;
	int64_t incarnation;
	int64_t sequence;

	bool alive, paused, leaving, ready;
	double step_factor; /* factor on step_us; 1 for none */
	uint32_t replica;
	int64_t epoch;
	int64_t fencing; /* highest fencing token seen */
	int rank;
	int slots;
	GPtrArray *members; /* names of the replica's VMs */
	char model[64], adapter[64], version[64]; /* loaded; empty for none */
	char target_model[64], target_adapter[64], target_version[64];
	struct event *load_timer;
	bool loading;
	struct batch *batch; /* on the head VM; NULL before the first request */

	GHashTable *cache;	  /* set of prompt blocks, by hash */
	GQueue cache_order;	  /* the same blocks, oldest first */
	json_t *stored, *dropped; /* blocks since the last announcement */
	bool cache_gap; /* a report was lost, or the cache was cleared */
	int reports;	/* cache reports so far */
};

struct engine {
	struct engine_opts opts;
	struct event_base *base;
	GPtrArray *vms;	  /* of struct engine_vm */
	int active_loads; /* running at present */
	FILE *log;
};

struct engine_vm *engine_find_vm(const struct engine *engine, const char *name);

/**
 * Whether every VM of the replica that `head` leads is alive, ready and in the
 * same epoch. VMs of other processes count as healthy.
 */
bool engine_replica_healthy(const struct engine_vm *head);

/** Makes the timer of a VM's weight loads. */
struct event *engine_load_timer(struct engine_vm *vm);

/** Carries out an order from the placer and answers the request. */
void engine_handle_order(struct engine_vm *vm, struct evhttp_request *req);

/** Ends a VM, which stays dead until it is revived. */
void engine_kill_vm(struct engine_vm *vm);

/** Removes a VM from its replica; aborts the requests of its batch. */
void engine_leave_replica(struct engine_vm *vm);

/* batch.c */

/** Adds a request to the batch of a replica's head VM. */
void batch_add_request(struct engine_vm *vm, struct evhttp_request *req);

/** Aborts all requests and frees the batch; NULL is allowed. */
void batch_destroy(struct batch *batch);

/** Counts the requests of a batch, 0 for NULL. */
void batch_count(const struct batch *batch, int *running, int *waiting);

#endif
