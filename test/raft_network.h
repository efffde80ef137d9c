/**
 * @file
 * A consensus group in simulated time: the servers' disks, crashes and the
 * network between them. One thread owns a network.
 */
#ifndef TEST_RAFT_NETWORK_H
#define TEST_RAFT_NETWORK_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/raft.h>

#define SERVERS 6
#define STEP_MS 10
#define ELECTION_MS 300
#define HEARTBEAT_MS 50
/* Enough for several elections, one after the other. */
#define LIMIT_MS (20 * ELECTION_MS)

struct network;

/** A member with its disk. The first ids are the places plus one. */
struct server {
	struct network *network;
	uint64_t id;
	struct raft *raft; /* NULL while it is down */
	struct member_config first;
	GPtrArray *entries; /* of struct raft_entry, synced or not */
	guint durable;	    /* number of entries that a crash leaves */
	uint64_t term, vote;
	GPtrArray *deferred; /* encoded messages that wait for a sync */
};

struct network {
	int64_t now_ms;
	struct server servers[SERVERS];
	bool cut[SERVERS][SERVERS]; /* [from][to] */
	GPtrArray *messages;	    /* encoded, in transit */
};

enum membership { ABSENT, LEARNER, VOTER };

/** Starts all servers; the first `voters` of them form the group. */
void network_init(struct network *net, u_int voters);
void network_clear(struct network *net);

/** Passes 10 ms: timers, syncs, and delivery of what was sent. */
void network_step(struct network *net);

/** Delivers what is in transit. */
void network_deliver(struct network *net);

void server_start(struct server *server);

/** Puts a new server, with an empty disk and an id of its own, in its place. */
void server_replace(struct server *server);

/** Returns the server with an id, running or not, or NULL. */
struct server *network_find(struct network *net, uint64_t id);

/** Ends a server; what it has not synced is lost. */
void server_crash(struct server *server);
void server_sync(struct server *server);

/** Returns the leader that has committed an entry of its term, or NULL. */
struct server *ready_leader(struct network *net);

/** Runs until there is such a leader; the test fails if none comes. */
struct server *run_until_leader(struct network *net);

/** Runs until the members with ids up to `up_to_id` know it is committed. */
void run_until_committed(struct network *net, uint64_t index,
			 uint64_t up_to_id);

/** Proposes a change of one member and returns its index. */
uint64_t propose_membership(struct server *leader, uint64_t id,
			    enum membership membership);

/** Changes one member and waits until that is committed. */
void change_membership(struct network *net, uint64_t id,
		       enum membership membership);

#endif
