/**
 * @file
 * The settings of radishdeald, read from one TOML file.
 *
 * The struct owns its strings; any thread may read it once loaded.
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

/** What callers, endpoints and operators speak. */
enum interface_kind {
	INTERFACE_NATIVE,
	INTERFACE_PLATFORM,
};

struct node_settings {
	int64_t id;	   /* with seeds: the IP number of listen.peers */
	int32_t interface; /* enum interface_kind */
	bool bootstrap;	   /* the whole system starts for the first time */
	char *data_centre;
	uint32_t roles; /* of enum daemon_role */
	char *data_folder;
};

struct listen_settings {
	char *callers;
	char *endpoints;
	char *operators;
	char *peers;
	char *directory; /* callers ask here for entries' addresses */
	char *readiness; /* whether this entry takes callers */
	char *metrics;
};

/** Another VM of the system, or this one. */
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
	char *old_key_file; /* accepted while keys are changed */
	char *operator_keys_file;
	char *endpoint_key_file;
	int64_t election_ms;
	int64_t heartbeat_ms;
	int64_t drift_permille;
	int64_t replace_after_ms;
	int64_t tolerated_losses; /* of voters at once; 0: see the peers */
	GPtrArray *seeds;	  /* of char *: IP:port of some control VMs */
	GPtrArray *peers; /* of struct peer_settings; made from the seeds */
};

struct limit_settings {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t connections;
	int64_t slow_sender_s;
	int64_t address_max_age_s;
	int64_t announce_ms;
	int64_t vm_silence_ms;
	int64_t home_silence_ms;
	int64_t digest_ms;
	int64_t config_lease_ms;
	int64_t drain_ms;
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
	int32_t level;	/* index into the names in the table */
	int32_t format; /* enum log_format */
};

struct daemon_settings {
	struct node_settings node;
	struct listen_settings listen;
	struct cluster_settings cluster;
	struct limit_settings limits;
	struct log_settings log;
};

/** Loads a file; on RD_SETTINGS *errors lists all of them (caller frees). */
enum rd_result daemon_settings_load(const char *path,
				    struct daemon_settings *settings,
				    char **errors);

void daemon_settings_clear(struct daemon_settings *settings);

/** Returns this VM's own row among the peers; never NULL once loaded. */
const struct peer_settings *daemon_settings_own_peer(
	const struct daemon_settings *settings);

/** Whether other VMs are found through seeds, not listed in the settings. */
bool daemon_settings_uses_seeds(const struct daemon_settings *settings);

/** After which silence of a home its VMs are lost. */
int32_t daemon_settings_monitor_timeout_ms(
	const struct daemon_settings *settings);

/** How many voters the state group is to have. */
uint32_t daemon_settings_voter_count(const struct daemon_settings *settings);

/**
 * The peers address of a node in a system with seeds: its number is its IP
 * address, and all VMs use one port.
 */
void daemon_settings_node_address(const struct daemon_settings *settings,
				  uint32_t node, char *out, size_t size);

/** Appends the reference of all keys. */
void daemon_settings_append_reference(GString *out);

/**
 * Reads a key file: its first line, without white space at the ends. The file
 * must not be readable by others. NULL with *error set if it cannot.
 */
GBytes *key_file_load(const char *path, char **error);

#endif
