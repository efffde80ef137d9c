/**
 * @file
 * A system of real processes for tests and measures: daemons, stand-ins and
 * the fault proxy, in a folder of their own, on loopback addresses that no
 * other run uses. Single-threaded; failures end the program with a message.
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
	char *settings;
	int starts;
};

struct cluster {
	char *folder;
	char *bin; /* folder of the programs */
	char host[32];
	int node_count;
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	bool proxied; /* daemons reach each other through the proxy */
	int links[CLUSTER_NODES_MAX + 1][CLUSTER_NODES_MAX + 1];
	char *proxy;	      /* address of its control port, NULL without */
	GPtrArray *children;  /* pids of all stand-ins */
	GHashTable *controls; /* stand-in's name -> its control address */
	char *operator_key;
	char *account_key; /* of account "studio" in every service */
	char *other_key;   /* of account "label" */
	char *limits;	   /* lines for [limits] of the next settings written */
	char *cluster_lines; /* lines for [cluster] */
};

/** Makes the folder, the keys and, if asked, the proxy. */
struct cluster *cluster_create(bool proxied);

/** Ends all processes by their ids and removes the folder. */
void cluster_destroy(struct cluster *cluster);

/** Writes settings for n VMs in data centres a, b, c, a... and starts them. */
void cluster_start(struct cluster *cluster, int nodes);

void cluster_start_node(struct cluster *cluster, int node);
void cluster_signal_node(struct cluster *cluster, int node, int signal);

/** Waits for a daemon that was told to stop; returns its exit status. */
int cluster_wait_node(struct cluster *cluster, int node);

/** Ends the program if a daemon that should run has ended. */
void cluster_check_alive(struct cluster *cluster);

/** Removes a node's data folder. */
void cluster_wipe_node(struct cluster *cluster, int node);

/** Starts a stand-in, found later by its name. Arguments end with NULL. */
pid_t cluster_start_fake(struct cluster *cluster, const char *program,
			 const char *name, const char *const *arguments);

/** Changes a stand-in: POST on its control port; false if refused. */
bool cluster_change_fake(struct cluster *cluster, const char *name,
			 const char *path);

/** Sets a fault on the link between two daemons. */
void cluster_link(struct cluster *cluster, int from, int to, const char *what);

/** Asks an operators' port; NULL if there was no answer with status 200. */
json_t *cluster_get(struct cluster *cluster, int node, const char *path);

/** Asks any operators' port with a method; clear the answer. */
bool cluster_operate(struct cluster *cluster, int node, const char *method,
		     const char *path, const char *body,
		     struct fetch_response *answer);

/** Applies a new service's TOML and waits until it is in force. */
void cluster_apply(struct cluster *cluster, const char *text);

/** Counts whole replicas; `service` and `version` may be NULL for any. */
int cluster_count_whole(struct cluster *cluster, const char *service,
			const char *version);

/** Waits until so many replicas are whole by the leader's word. */
void cluster_wait_whole(struct cluster *cluster, int count);

/** The node that leads by its own word, 0 if none. */
int cluster_leader(struct cluster *cluster);

/** Waits for a leader; ends the program if none comes. */
int cluster_wait_leader(struct cluster *cluster);

/** Path of a file in the folder; caller frees. */
char *cluster_path(const struct cluster *cluster, const char *name);

/** Endpoints' addresses of all nodes, with commas; caller frees. */
char *cluster_entries(const struct cluster *cluster);

/** SHA-256 of a key in hex; caller frees. */
char *cluster_key_hash(const char *key);

/** Milliseconds on the monotonic clock. */
gint64 cluster_now_ms(void);

/** Ends the program with a message. */
void cluster_fail(const char *fmt, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;

#endif
