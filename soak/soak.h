/**
 * @file
 * A seeded run of real daemons that are stopped, signalled again and restarted
 * while callers go on using their connections.
 *
 * struct soak owns the records: a process per start of a daemon, a request per
 * request sent, and an endpoint_run per request that reached an endpoint. The
 * main thread starts, signals and reaps the daemons and writes their records.
 * Each caller has a thread, which owns its requests until callers_free().
 * check.c only reads, after the run.
 */
#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "test/cluster.h"

#define SOAK_ENTRIES 4
#define SOAK_SIGNALS_MAX 64
#define SOAK_GRACE_MS 8000
#define SOAK_LINGER_MS 2900
#define SOAK_DRAIN_MS 7000

struct soak;
struct caller;

/** What differs between the interfaces on which a soak can run. */
struct soak_rig {
	int first_entry; /* number of the first entry's node */
	int nodes;	 /* number of daemons, which are numbered from 1 */
	const char *const *logs; /* names of the endpoints' logs; NULL at end */
	/** Creates a cluster whose daemons and endpoints run. */
	struct cluster *(*set_up)(struct soak *soak);
	void (*clear)(struct soak *soak); /* frees the rig's state; or NULL */
	/** Makes the n-th change as an operator, on a thread of its own. */
	void (*change)(struct soak *soak, int node, int n);
	/** Draws and makes faults of endpoints; or NULL. */
	void (*make_faults)(struct soak *soak);
	/** Before each request of a caller; or NULL. */
	void (*refresh_caller)(struct caller *caller);
	/** Chooses another entry; sets the caller's node. */
	void (*choose_entry)(struct caller *caller);
	/** Sends a request; returns how long to wait before the next, in ms. */
	int (*make_call)(struct caller *caller);
	void (*free_caller)(struct caller *caller); /* or NULL */
};

extern const struct soak_rig native_rig;
extern const struct soak_rig platform_rig;

/** Load and faults of a soak on the platform's interface. */
struct soak_platform_opts {
	const char *daemon; /* path of another build's daemon, or NULL */
	int busy;	    /* processes that spin */
	int vms;	    /* of the model's pool */
	int plain_vms;
	/** Kinds of faults of endpoints, with commas, or "all"; NULL: none. */
	const char *faults;
	int stride;	    /* token steps of an event */
	bool control_stops; /* of control VMs, in some seeds */
	bool stops;
};

struct soak_opts {
	const struct soak_rig *rig;
	uint32_t seed;
	int duration_ms;
	int callers;
	guint shown; /* findings printed at most; 0 for all */
	struct soak_platform_opts platform;
};

/* ---- records ---- */

struct sent_signal {
	int number;
	int64_t at_us;
};

/** One start of a daemon. */
struct process {
	int node;
	int start; /* of this node, from 1 */
	int64_t started_us;
	int64_t exited_us; /* 0 while it runs */
	int wait_status;
	bool up;     /* its port for callers has accepted a connection */
	bool killed; /* with SIGKILL, after the grace period */
	struct sent_signal signals[SOAK_SIGNALS_MAX];
	int signal_count;
};

enum request_kind {
	REQUEST_STREAM,
	REQUEST_CHAT,
	REQUEST_CALL,
	REQUEST_BOOKING,  /* once only, with an idempotency key */
	REQUEST_ONCE,	  /* once only, without a key */
	REQUEST_UPLOAD,	  /* long body, sent in pieces */
	REQUEST_DOWNLOAD, /* long response, read slowly */
	REQUEST_BAD,	  /* the same each time; ends its endpoint */
	REQUEST_KINDS
};

struct request {
	char id[32];
	enum request_kind kind;
	struct process *process;
	int64_t begun_us;
	int64_t sent_us;  /* last byte handed to the kernel; 0 before */
	int64_t ended_us; /* response complete, or connection ended */
	int64_t deadline_us;
	bool complete;
	bool gave_up;	/* the connection was open, long after the deadline */
	bool abandoned; /* by the caller, after too long a pause */
	bool not_run;	/* a response that says so */
	int status;
	size_t received; /* bytes of the response */
	char *refusal;	 /* type of a problem response, or NULL */
	char *fault;	 /* a response that must not be; NULL for none */
	char *end;	 /* how it ended, for reports */
};

/** What the endpoints' logs say of one request. */
struct endpoint_run {
	int received;		      /* by an endpoint; only logged by some */
	int begun, served, cancelled; /* number of such events */
	int broken;	  /* likewise, since the request was received last */
	int stalled;	  /* its replica has lost a VM; likewise */
	int64_t ended_us; /* latest of the end events */
};

struct soak {
	struct soak_opts opts;
	struct cluster *cluster;
	int64_t began_us;
	GPtrArray *processes;	   /* of struct process */
	GPtrArray *requests;	   /* of struct request */
	GHashTable *endpoint_runs; /* request id -> struct endpoint_run */
	GHashTable *reasons; /* request id -> why an entry ended it, text */
	GHashTable *limits;  /* of endpoints, see limits.h; NULL for none */
	struct bad_runs *bad_runs; /* see bad_runs.h; NULL for none */
	GMutex lock;		   /* of `current` */
	/* by node; NULL when down */
	struct process *current[CLUSTER_NODES_MAX + 1];
	void *rig_state; /* of the rig */
};

struct soak_result {
	int requests, complete, refused, excused, abandoned;
	int stops, repeated_signals;
	int early_ends; /* by a signal, before the process had a handler */
	int limits;	/* named by endpoints */
	int bad_ends;	/* endpoints that were ended by a bad request */
	GHashTable *refusals; /* type -> number of requests */
	GHashTable *causes;   /* of requests lost -> number */
	GPtrArray *findings;  /* of char *; empty if all checks passed */
};

/* ---- platform_faults.c ---- */

/** Whether these are names of faults, separated by commas. */
bool platform_faults_known(const char *list);

/** Whether the faults `list`, which may be NULL, include a group. */
bool platform_faults_include(const char *list, const char *group);

/* ---- soak.c ---- */

/** Runs one seed; prints the findings. soak_result_clear() frees. */
void soak_run(const struct soak_opts *opts, struct soak_result *result);
void soak_result_init(struct soak_result *result);
void soak_result_clear(struct soak_result *result);

/** The clock of all records, the same as that of the endpoints' logs. */
int64_t soak_now_us(void);

void soak_process_free(gpointer process);
void soak_request_free(gpointer request);

/** Returns a table of the requests by their ids, for g_hash_table_unref(). */
GHashTable *soak_index_requests(const struct soak *soak);

/* ---- processes.c ---- */

/** Adds the record of a daemon that has just been started. */
void processes_add(struct soak *soak, int node);
void processes_signal(struct soak *soak, int node, int number);
/** Reaps daemons that ended; kills those that outlast the grace period. */
void processes_poll(struct soak *soak);
int processes_running(const struct soak *soak);
/** Whether it wasn't started or signalled for a while before. */
bool process_in_touch(const struct process *process, int64_t at_us);
/** Time of the first SIGTERM or SIGINT, 0 if there was none. */
int64_t process_stop_us(const struct process *process);

/* ---- schedule.c ---- */

struct schedule;

/** Draws all actions from the seed; times count from now. */
struct schedule *schedule_create(struct soak *soak);
void schedule_run_due(struct schedule *schedule);
void schedule_free(struct schedule *schedule);

/* ---- callers.c ---- */

struct callers;

struct callers *callers_create(struct soak *soak);
/** Makes all callers end after their open request; connections stay open. */
void callers_finish(struct callers *callers);
/** Returns how many have not ended. */
int callers_running(struct callers *callers);
/** Closes the connections; moves the callers' requests to struct soak. */
void callers_free(struct callers *callers);

/* ---- endpoints.c ---- */

/**
 * Reads a log of JSON lines: visits each that has the text `only`; NULL for
 * any other line.
 */
void soak_read_log(const char *path, const char *only,
		   void (*visit)(GHashTable *table, json_t *line),
		   GHashTable *table);

/** Adds what a log of a fake says to a table of struct endpoint_run. */
void endpoints_read_log(GHashTable *runs, const char *path);

/* ---- reasons.c ---- */

/** Adds what a daemon's log of JSON lines says of refused requests. */
void reasons_read_log(GHashTable *reasons, const char *path);

/* ---- check.c ---- */

/** Applies all checks to the records of a finished run. */
void check_records(const struct soak *soak, struct soak_result *result);

#endif
