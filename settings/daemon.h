/**
 * @file
 * The settings of radishdeald, parsed from a TOML file.
 *
 * The struct owns its strings. It is not changed after loading, so that any
 * thread may read it.
 */
#ifndef SETTINGS_DAEMON_H
#define SETTINGS_DAEMON_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/result.h>

#include "settings/options.h"

enum daemon_role {
	ROLE_ENTRY = 1 << 0,
	ROLE_CONTROL = 1 << 1,
};

/** The HTTP interface that callers, endpoints and operators use. */
enum interface_kind {
	INTERFACE_NATIVE,
	INTERFACE_PLATFORM,
};

struct node_settings {
	int64_t id;	   /* with seeds: the IPv4 address of listen.peers */
	int32_t interface; /* enum interface_kind */
	bool bootstrap;	   /* create the consensus group: only at the first
			    * start of the cluster */
	char *data_centre;
	uint32_t roles; /* bits of enum daemon_role */
	char *data_folder;
};

struct listen_settings {
	char *callers;
	char *endpoints;
	char *operators;
	char *peers;
	char *directory; /* serves the entries' addresses to callers */
	char *readiness; /* reports whether this entry accepts callers */
	char *metrics;
};

/** A VM of the cluster, which may be this one. */
struct peer_settings {
	int64_t id;
	char *data_centre;
	char *address; /* IP:port of its port for peers */
	bool voter;
	bool control;
};

struct cluster_settings {
	char *name;
	char *key_file;
	char *old_key_file; /* also accepted, for a key rotation */
	char *operator_keys_file;
	char *endpoint_key_file;
	int64_t election_ms;
	int64_t heartbeat_ms;
	int64_t drift_permille;
	int64_t replace_after_ms;
	int64_t tolerated_losses; /* voters that may fail at once; 0: the peers
				   * marked as voters form the group */
	GPtrArray *seeds;	  /* of char *: addresses of some control VMs */
	GPtrArray *peers;	  /* of struct peer_settings; with seeds, filled
				   * from them */
};

/** Limits and timeouts; limit_options in daemon.c describes each of them. */
struct limit_settings {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t connections;
	int64_t memory_mb;
	int64_t descriptors;
	int64_t slow_sender_s;
	int64_t receive_s;
	int64_t address_max_age_s;
	int64_t announce_ms;
	int64_t vm_silence_ms;
	int64_t home_silence_ms;
	int64_t digest_ms;
	int64_t config_lease_ms;
	int64_t drain_ms;
	int64_t grace_ms; /* 0: a stop may take any time */
	int64_t queue_ms;
	int64_t subset;
	int64_t segment_bytes;
	int64_t snapshot_entries;
	int64_t weight_loads;
	int64_t pause_wait_ms;
	int64_t order_timeout_ms;
	int64_t stall_ms;
	int64_t head_stall_ms;
	int64_t early_wait_ms;
	int64_t presume_ms;
	int64_t repeat_permille;
	int64_t repeat_slack;
	int64_t repeat_window_ms;
	int64_t linger_ms;
};

struct log_settings {
	int32_t level;	/* index into level_names in daemon.c */
	int32_t format; /* enum log_format */
};

struct daemon_settings {
	struct node_settings node;
	struct listen_settings listen;
	struct cluster_settings cluster;
	struct limit_settings limits;
	struct log_settings log;
};

/**
 * Loads and checks a settings file. Returns RD_OK or RD_SETTINGS. *errors is
 * NULL or lists every error, one per line; the caller frees it with g_free().
 * The settings must be cleared by daemon_settings_clear() in either case.
 */
enum rd_result daemon_settings_load(const char *path,
				    struct daemon_settings *settings,
				    char **errors);

/** Frees the contents of the settings. */
void daemon_settings_clear(struct daemon_settings *settings);

/** Returns this VM among the peers; not NULL for settings loaded as RD_OK. */
const struct peer_settings *daemon_settings_own_peer(
	const struct daemon_settings *settings);

/** Returns whether peers are discovered through seeds instead of listed. */
bool daemon_settings_uses_seeds(const struct daemon_settings *settings);

/** Returns the timeout of a monitor's digests (home_silence_ms), in ms. */
int32_t daemon_settings_monitor_timeout_ms(
	const struct daemon_settings *settings);

/** How long a planned stop may wait for calls, within limits.grace_s. */
int64_t daemon_settings_drain_ms(const struct daemon_settings *settings);

/** How long a whole planned stop may take, within limits.grace_s. */
int64_t daemon_settings_stop_ms(const struct daemon_settings *settings);

/**
 * How long a stopping entry accepts requests. The last one accepted has at
 * least half of the drain to complete.
 */
int64_t daemon_settings_linger_ms(const struct daemon_settings *settings);

/** Returns the number of voters that the consensus group should have. */
uint32_t daemon_settings_voter_count(const struct daemon_settings *settings);

/**
 * Writes a node's address for peers (IP:port) in a cluster with seeds, where a
 * node's id is its IPv4 address and all VMs use the port of listen.peers.
 */
void daemon_settings_node_address(const struct daemon_settings *settings,
				  uint32_t node, char *out, size_t size);

/** Appends a reference of all keys. */
void daemon_settings_append_reference(GString *out);

/**
 * Reads a key from a file, without the white space at its ends. Only the owner
 * may have access to the file. The caller unreferences the key. Returns NULL
 * and sets *error (freed with g_free()) on failure.
 */
GBytes *key_file_load(const char *path, char **error);

#endif
