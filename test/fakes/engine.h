/**
 * @file
 * A stand-in for a model engine: VMs that take orders, form replicas, and
 * batch requests continuously. All in one event loop.
 */
#ifndef TEST_FAKES_ENGINE_H
#define TEST_FAKES_ENGINE_H

#include <stdio.h>

#include "common/http.h"
#include "test/fakes/announcer.h"

struct engine;
struct run;

struct engine_opts {
	const char *host;
	int step_us;	 /* time of a decoding step of an empty batch */
	int prefill_us;	 /* time to read one prompt token */
	int load_ms;	 /* time to load weights */
	int store_loads; /* loads the weight store serves at once */
	int cache_parts; /* prompt parts a replica caches */
	int cache_loss;	 /* one in so many cache reports is lost; 0 none */
	bool checks_fencing;
	const char *log_path; /* NULL for none */
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
	double straggle; /* 1 for none */
	uint32_t replica;
	int64_t epoch;
	int64_t fencing; /* highest number seen */
	int rank;
	int slots;
	GPtrArray *members; /* names of the replica's VMs */
	char model[64], adapter[64], version[64]; /* loaded */
	char want_model[64], want_adapter[64], want_version[64];
	struct event *load_timer;
	bool loading;
	struct run *run; /* the batch, on the head VM */

	GHashTable *cache; /* prompt part -> itself */
	GQueue cache_order;
	json_t *stored, *dropped; /* since the last announcement */
	bool cache_gap;
	int reports;
};

struct engine {
	struct engine_opts opts;
	struct event_base *base;
	GPtrArray *vms; /* of struct engine_vm */
	int loads;
	FILE *log;
};

struct engine_vm *engine_find(const struct engine *engine, const char *name);

/** Whether every VM of the replica that this VM heads is there. */
bool engine_whole(const struct engine_vm *head);

/** Makes the timer of a VM's weight loads. */
struct event *engine_load_timer(struct engine_vm *vm);

/** Takes an order; answers the request. */
void engine_order(struct engine_vm *vm, struct evhttp_request *req);

/** Forgets the replica a VM is in; its batch breaks off. */
void engine_leave_replica(struct engine_vm *vm);

/* batch.c */
void run_request(struct engine_vm *vm, struct evhttp_request *req);
void run_destroy(struct run *run);
void run_counts(const struct run *run, int *running, int *waiting);

#endif
