/**
 * @file
 * Endpoints that speak the platform's interface: VMs of a model's pool, which
 * form groups and serve requests in batches, and VMs of a plain service. All in
 * one event loop.
 */
#ifndef TEST_FAKES_PLATFORM_VM_H
#define TEST_FAKES_PLATFORM_VM_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

#define PLATFORM_ID_SIZE 64

struct platform_batch;
struct platform_beats;

/** Timings of the engine, as in the configuration's `engine` block. */
struct platform_engine_opts {
	double step_ms, per_request_ms, context_ms_per_k;
	double prefill_tokens_per_s;
	int prefill_chunk_tokens;
	int steps_per_pass;
	int slots, queue;
	int cache_tokens;
	int load_ms, warm_ms, open_ms;
	int stall_ms; /* of work whose group has lost a member */
};

struct platform_pool {
	struct event_base *base;
	const char *service;
	const char *zone;
	bool plain;	  /* answers without groups and batches */
	int plain_ms;	  /* duration of a plain answer */
	int heartbeat_ms; /* between two heartbeats */
	char **controls;  /* addresses of the control VMs */
	struct platform_engine_opts engine;
	GPtrArray *vms; /* of struct platform_vm */
	/** Process whose requests are not read; 0: none. */
	pid_t cut_pid;
	bool cut_resets; /* its connections, at its requests */
	int64_t cut_until_us;
	FILE *log;
	GRand *random;
};

enum group_state {
	GROUP_NONE,
	GROUP_JOINING,
	GROUP_READY,
	GROUP_OPEN,
	GROUP_BROKEN,
};

struct platform_vm {
	struct platform_pool *pool;
	int number; /* from 0 */
	char id[PLATFORM_ID_SIZE];
	char host[32];
	char address[64];
	struct evhttp *http;
	struct platform_beats *beats;
	int64_t born_ms;
	int sequence; /* of heartbeats */
	bool alive;
	int64_t paused_until_us; /* neither serves nor sends heartbeats */
	int64_t dark_until_us;	 /* likewise, for longer than groups stall */
	int64_t held_until_us;	 /* its batch makes no progress */
	double limit;		 /* requests a second that its answers name */
	int64_t limited_until_us;
	bool limit_named;
	double slow; /* factor on all times; 1 for none */
	int64_t slow_until_us;

	/* the VM's group */
	char group[PLATFORM_ID_SIZE];
	int64_t epoch;
	GPtrArray *members; /* ids, the head first */
	enum group_state state;
	char model[PLATFORM_ID_SIZE];
	char last_model[PLATFORM_ID_SIZE]; /* loaded since its start */
	char staged[PLATFORM_ID_SIZE];	   /* on its disk */
	char staging[PLATFORM_ID_SIZE];	   /* being loaded to its disk */
	int64_t fence, epoch_seen;
	int orders; /* accepted */
	struct event *join_timer, *stage_timer, *open_timer;
	int64_t broken_at_us; /* when a stalled group breaks; 0 for none */
	struct platform_batch *batch;
	GPtrArray *plain_calls; /* of a plain service, in progress */
};

/** Adds a VM that listens on `host` and starts to send heartbeats. */
struct platform_vm *platform_vm_add(struct platform_pool *pool,
				    const char *host);

/** Resets all connections; the VM is gone until platform_vm_restart(). */
void platform_vm_crash(struct platform_vm *vm);

/** The same, and platform_vm_restart() after so long. */
void platform_vm_crash_for(struct platform_vm *vm, int ms);

/** Starts a VM again with a new id, at its address. */
void platform_vm_restart(struct platform_vm *vm);

struct platform_vm *platform_find_vm(const struct platform_pool *pool,
				     const char *id);

/** Whether the VM is neither dead nor paused. */
bool platform_vm_runs(const struct platform_vm *vm);

/** Factor on the VM's times at this moment. */
double platform_vm_slowness(const struct platform_vm *vm);

/** Adds the VM's limit, if it has one, to the head of an answer. */
void platform_vm_name_limit(struct platform_vm *vm, struct evkeyvalq *out);

/** Writes a line with the time, the event and the VM; `detail` is merged. */
void platform_log(const struct platform_vm *vm, const char *event,
		  json_t *detail);

/** Sends a 421 or 503 that says that the request was not run. */
void platform_reject(struct platform_vm *vm, struct evhttp_request *req,
		     int status);

/* platform_groups.c */

/** Carries out an order and answers the request. */
void platform_handle_order(struct platform_vm *vm, struct evhttp_request *req);
/** Creates the timers of orders. */
void platform_groups_init(struct platform_vm *vm);
/** Forgets the group and the orders. */
void platform_groups_reset(struct platform_vm *vm);
/** Whether all members are in the group of `head`. */
bool platform_group_whole(const struct platform_vm *head);
/** Whether a member has ended, left or gone dark. */
bool platform_group_lost(const struct platform_vm *head);
/** The group's factor on all times: that of its slowest member. */
double platform_group_slowness(const struct platform_vm *head);
const char *platform_group_state_name(enum group_state state);

/* platform_batch.c */

/** Adds a request to the batch of a head. */
void platform_batch_add(struct platform_vm *vm, struct evhttp_request *req);
/** Breaks off all work. */
void platform_batch_abort(struct platform_vm *vm, const char *why);
void platform_batch_count(const struct platform_vm *vm, int *running,
			  int *waiting);

/* platform_plain.c */

/** Breaks off all work. */
void platform_plain_abort(struct platform_vm *vm);

/** Answers a request after the pool's plain_ms, or ends the VM by it. */
void platform_plain_add(struct platform_vm *vm, struct evhttp_request *req);

/* platform_beats.c */

/** Sends heartbeats at the pool's interval; `body` returns a new object. */
struct platform_beats *platform_beats_create(struct platform_vm *vm,
					     json_t *(*body)(void *ctx),
					     void *ctx);
void platform_beats_free(struct platform_beats *beats);
void platform_beats_send_now(struct platform_beats *beats);
/** Delays each heartbeat by up to `late_ms`, or sends none if it is < 0. */
void platform_beats_delay(struct platform_beats *beats, int late_ms,
			  int64_t until_us);

#endif
