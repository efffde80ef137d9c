/**
 * @file
 * A cluster of real processes for tests and benchmarks: daemons, fakes and the
 * fault proxy, in a temporary folder, on loopback addresses that no other run
 * uses. Single-threaded; a failure ends the program with a message.
 */
#ifndef TEST_CLUSTER_H
#define TEST_CLUSTER_H

#include <stdbool.h>
#include <sys/types.h>

#include <glib.h>
#include <jansson.h>

#include "common/fetch.h"

#define CLUSTER_NODES_MAX 16
#define CLUSTER_WAIT_MS 60000

struct cluster_node {
	int number; /* from 1 */
	pid_t pid;  /* 0 while not running */
	char peers[64], callers[64], endpoints[64], operators[64];
	char *settings; /* path of the settings file */
	int starts;
};

struct cluster {
	char *folder;
	char *bin;    /* folder of the programs */
	char *daemon; /* path of another build's daemon, or NULL */
	char host[32];
	int node_count;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	bool proxied; /* daemons reach each other through the proxy */
	/* [from][to] -> number of the proxy's link */
	int links[CLUSTER_NODES_MAX + 1][CLUSTER_NODES_MAX + 1];
	char *proxy;	     /* address of its control port, or NULL */
	GArray *reserved;    /* of int, sockets that reserve the nodes' ports */
	GPtrArray *children; /* pids of the proxy and all fakes */
	GHashTable *controls; /* fake's name -> address of its control port */
	char *operator_key;
	char *account_key;	  /* of account "studio" in every service */
	char *second_account_key; /* of account "label" */
	int entry_only;		  /* node without the control role; 0: none */
	int control_only;	  /* node without the entry role; 0: none */
	char *limits;		  /* lines for [limits], for cluster_start() */
	char *cluster_lines;	  /* lines for [cluster], likewise */
	int services;		  /* applied so far */
};

/** Creates the folder, the keys and, with `proxied`, the fault proxy. */
struct cluster *cluster_create(bool proxied);

/** Kills all processes by their pids and removes the folder. */
void cluster_destroy(struct cluster *cluster);

/**
 * Writes the settings of n VMs, in data centres a, b, c, a, ..., starts their
 * daemons and waits for a leader.
 */
void cluster_start(struct cluster *cluster, int nodes);

void cluster_start_node(struct cluster *cluster, int node);

/** Sends a signal to a daemon; after SIGKILL waits for its end. */
void cluster_signal_node(struct cluster *cluster, int node, int signal);

/** Waits for a stopping daemon; returns its exit status, or -signal. */
int cluster_wait_node_exit(struct cluster *cluster, int node);

/** Ends the program if a daemon has exited unexpectedly. */
void cluster_check_alive(struct cluster *cluster);

/** Removes a node's data folder. */
void cluster_wipe_node(struct cluster *cluster, int node);

/**
 * Starts a fake, later addressed by `name`; `arguments` end with NULL. Returns
 * once its control port is open.
 */
pid_t cluster_start_fake(struct cluster *cluster, const char *program,
			 const char *name, const char *const *arguments);

/** Like cluster_start_fake(), with these arguments and --control only. */
pid_t cluster_start_plain_fake(struct cluster *cluster, const char *program,
			       const char *name, const char *const *arguments);

/** POSTs to a fake's control port; false if it refuses. */
bool cluster_change_fake(struct cluster *cluster, const char *name,
			 const char *path);

/** Sets a fault on the proxy's link between two daemons. */
void cluster_set_link_fault(struct cluster *cluster, int from, int to,
			    const char *what);

/** GETs JSON from an operators' port; NULL unless the status is 200. */
json_t *cluster_get(struct cluster *cluster, int node, const char *path);

/**
 * Sends a request to a node's operators' port. Returns whether there was a
 * response; the caller clears `answer` in either case.
 */
bool cluster_operator_request(struct cluster *cluster, int node,
			      const char *method, const char *path,
			      const char *body, struct fetch_response *answer);

/** Whether a change has to be sent again, with the same change id. */
bool cluster_change_undecided(const struct fetch_response *answer);

/** Applies the TOML of a new service; waits until it is in force. */
void cluster_apply_service(struct cluster *cluster, const char *text);

/**
 * Counts the replicas that the leader lists in state "whole", that is healthy.
 * `service` and `version` may be NULL for any.
 */
int cluster_count_healthy(struct cluster *cluster, const char *service,
			  const char *version);

/** Waits until the leader lists at least `count` healthy replicas. */
void cluster_wait_healthy(struct cluster *cluster, int count);

/** Returns the first node that reports itself as leader, 0 if none does. */
int cluster_find_leader(struct cluster *cluster);

/** Waits for a leader; ends the program if none is elected in time. */
int cluster_wait_leader(struct cluster *cluster);

/** Path of a file in the cluster's folder; the caller frees. */
char *cluster_path(const struct cluster *cluster, const char *name);

/** Addresses of all nodes' `endpoints` ports, with commas; the caller frees. */
char *cluster_endpoint_addresses(const struct cluster *cluster);

/** SHA-256 of a key in hex; the caller frees. */
char *cluster_key_hash(const char *key);

/** Milliseconds on the monotonic clock. */
gint64 cluster_now_ms(void);

/** Cleans up and ends the program with a message. */
void cluster_fail(const char *fmt, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;

#endif
