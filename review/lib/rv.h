/**
 * @file
 * What the scripts of the review share: the project's processes with the
 * settings of the deploy file, an HTTP client, and servers that stand in for
 * replicas. POSIX and Linux only, no libraries.
 */
#ifndef REVIEW_RV_H
#define REVIEW_RV_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RV_CONTROLS 3 /* nodes 1 to 3; the entries follow */
#define RV_NODES_MAX 9
#define RV_DRAIN_MS 2000
#define RV_BEAT_MS 1200

enum rv_port {
	RV_CONTROL,
	RV_DIRECTORY,
	RV_FRONT,
	RV_READY,
	RV_PEERS,
	RV_METRICS,
	RV_PORTS,
};

/* ---- the run ---- */

/**
 * Opens the record and the temporary folder, and chooses free ports. The run
 * ends with 2 after `limit_s` seconds.
 */
void rv_open(const char *record, int limit_s);

/** Whether the run has the disruption: TROUBLE isn't 0. */
bool rv_trouble(void);

/** Seconds since rv_open(). */
double rv_now(void);
void rv_sleep(double seconds);

/** A number from 0 to 1; seeded with the variable SEED or the time. */
double rv_random(void);

/** Writes a line with the time to the record. */
void rv_say(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** Ends all processes, removes the folder and exits. */
void rv_exit(int status) __attribute__((noreturn));

/** Like rv_exit(2), with a reason: the case couldn't run. */
void rv_cannot(const char *fmt, ...)
	__attribute__((format(printf, 1, 2), noreturn));

/* ---- the project's processes ---- */

/** Starts nodes 1 to 3 with the control role and `entries` entries. */
void rv_start_system(int entries);
void rv_start_node(int node);

/** Starts a machine with the control role that is new, with an empty disk. */
void rv_add_control(int node);

/**
 * Removes a machine with the control role for good: SIGTERM, then SIGKILL after
 * graceS. Its disk goes with it.
 */
void rv_remove_control(int node);
void rv_signal_node(int node, int signal);
pid_t rv_node_pid(int node);

/** Address of a node's port; the result is never freed. */
const char *rv_address(int node, enum rv_port port);

/** Whether a process has a TCP socket with this local address. */
bool rv_socket_is_of(int node, const char *ip, int port);

/** Puts a configuration until it is acknowledged. */
void rv_put_config(const char *json);

/* ---- HTTP client ---- */

struct rv_answer {
	int status;	 /* 0: none */
	bool whole;	 /* the body is complete */
	char *head;	 /* with its first line */
	char *body;	 /* decoded, with a NUL */
	size_t size;	 /* of the body */
	const char *why; /* there is no whole answer */
};

/** Sends bytes on a new connection and reads one answer. */
void rv_exchange(const char *address, const char *bytes, size_t size,
		 int timeout_ms, struct rv_answer *answer);
void rv_answer_clear(struct rv_answer *answer);

/** Copies a header's value from a head; false if there is none. */
bool rv_header(const char *head, const char *name, char *out, size_t size);

/** POSTs JSON; returns the status, or 0. */
int rv_post_json(const char *address, const char *path, const char *json,
		 int timeout_ms);

/* ---- stand-ins for replicas ---- */

/** A request that a replica has read. */
struct rv_request {
	int fd;
	char peer_ip[16];
	int peer_port;
	char id[64]; /* Attempt-Id */
	char method[16], path[256];
	const char *head;
	const char *body;
	size_t size;
};

struct rv_replica;

/**
 * Answers a request with rv_write(); returns false if the connection is to be
 * closed, true to go on with it. Called on the connection's own thread.
 */
typedef bool (*rv_serve_fn)(struct rv_replica *replica,
			    const struct rv_request *request);

/** Whether a new connection from this address reaches the replica. */
typedef bool (*rv_reach_fn)(const char *ip, int port);

/** NULL: all do. Others are reset at once. */
extern rv_reach_fn rv_reaches;

struct rv_replica {
	char id[32], service[32], address[48];
	int slots;
	bool draining; /* as it says of itself */
	bool silent;   /* sends no heartbeats */
	rv_serve_fn serve;
	void *ctx;
	int64_t born;
	long sequence;
	unsigned calls; /* to control */
	int heard_by;	/* node that acknowledged the last heartbeat */
	int listener;
	volatile bool ended; /* accepts nothing, connections are broken */
};

/**
 * Starts a replica of a plain service, which sends heartbeats. Its calls go to
 * the nodes that serve control by turns.
 */
struct rv_replica *rv_start_replica(const char *service, rv_serve_fn serve,
				    void *ctx);

/** Sends a heartbeat at once. Returns the node that acknowledged it, or 0. */
int rv_beat(struct rv_replica *replica);

/** Deregisters it. Returns the node that acknowledged that, or 0. */
int rv_deregister(struct rv_replica *replica);

/** Ends its process: the port closes, connections are reset. */
void rv_end_replica(struct rv_replica *replica);

/** Writes all bytes; false if the connection broke. */
bool rv_write(int fd, const char *bytes, size_t size);

/** Answers with a status and a body, with the id and a seal. */
bool rv_respond(const struct rv_request *request, const char *status,
		const char *body);

/** Closes the connection of a request with a reset. */
void rv_reset(const struct rv_request *request);

#endif
