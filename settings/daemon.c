#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sys/stat.h>

#include "common/address.h"
#include "settings/daemon.h"

#define KEY_MIN_BYTES 16
#define KEY_FILE_MAX_BYTES (1024 * 1024)
#define MS_PER_S 1000
/* Part of grace_s for the last responses and the exit, at most a sixth. */
#define STOP_RESERVE_MS 1000
#define STOP_RESERVE_SHARE 6
/* Part of that for the exit. */
#define EXIT_RESERVE_MS 200
/* More than any stop takes. */
#define STOP_MAX_MS (24 * 3600 * MS_PER_S)
/* Part of grace_s for the handover of leadership. */
#define HANDOVER_RESERVE_MS 2000

static const char *const role_names[] = { "entry", "control", NULL };
static const char *const interface_names[] = { "native", "platform", NULL };
static const char *const level_names[] = { "error", "warn",  "note",
					   "info",  "debug", NULL };
static const char *const format_names[] = { "key-value", "json", NULL };

#define NODE(field) offsetof(struct node_settings, field)
static const struct option_spec node_options[] = {
	{ .key = "id",
	  .type = OPT_INT,
	  .offset = NODE(id),
	  .min = 1,
	  .max = UINT16_MAX,
	  .help = "unique number of this VM; with seeds, its IP address is "
		  "used instead" },
	{ .key = "interface",
	  .type = OPT_CHOICE,
	  .offset = NODE(interface),
	  .choices = interface_names,
	  .default_value = INTERFACE_NATIVE,
	  .help = "HTTP interface for callers, endpoints and operators" },
	{ .key = "bootstrap",
	  .type = OPT_BOOL,
	  .offset = NODE(bootstrap),
	  .default_value = 0,
	  .help = "whether this is the first start of the cluster, which "
		  "creates the consensus group" },
	{ .key = "data_centre",
	  .type = OPT_STRING,
	  .offset = NODE(data_centre),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "data centre of this VM" },
	{ .key = "roles",
	  .type = OPT_FLAGS,
	  .offset = NODE(roles),
	  .choices = role_names,
	  .required = TRUE,
	  .help = "roles of this VM" },
	{ .key = "data_folder",
	  .type = OPT_STRING,
	  .offset = NODE(data_folder),
	  .max = 4000,
	  .help = "folder for all data stored by this VM; required for the "
		  "control role" },
	{ 0 }
};
static const struct option_group node_group = { "node",
						sizeof(struct node_settings),
						node_options };

#define LISTEN(field) offsetof(struct listen_settings, field)
#define LISTEN_OPTION(name, is_required, text)                            \
	{                                                                 \
		.key = #name, .type = OPT_STRING, .offset = LISTEN(name), \
		.max = 63, .required = (is_required), .help = (text)      \
	}
static const struct option_spec listen_options[] = {
	LISTEN_OPTION(callers, FALSE, "IP:port for callers"),
	LISTEN_OPTION(endpoints, FALSE, "IP:port for endpoints' announcements"),
	LISTEN_OPTION(operators, FALSE, "IP:port for operators"),
	LISTEN_OPTION(peers, TRUE,
		      "IP:port for the other processes of the cluster"),
	LISTEN_OPTION(directory, FALSE,
		      "IP:port that serves the entries' addresses to callers"),
	LISTEN_OPTION(readiness, FALSE,
		      "IP:port that reports if this entry accepts callers"),
	LISTEN_OPTION(metrics, FALSE, "IP:port for metrics"),
	{ 0 }
};
static const struct option_group listen_group = {
	"listen", sizeof(struct listen_settings), listen_options
};

#define PEER(field) offsetof(struct peer_settings, field)
static const struct option_spec peer_options[] = {
	{ .key = "id",
	  .type = OPT_INT,
	  .offset = PEER(id),
	  .min = 1,
	  .max = 65535,
	  .required = TRUE,
	  .help = "number of the VM" },
	{ .key = "data_centre",
	  .type = OPT_STRING,
	  .offset = PEER(data_centre),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "data centre of the VM" },
	{ .key = "peers",
	  .type = OPT_STRING,
	  .offset = PEER(address),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "IP:port of its port for peers" },
	{ .key = "control",
	  .type = OPT_BOOL,
	  .offset = PEER(control),
	  .default_value = 1,
	  .help = "whether it has the control role" },
	{ .key = "voter",
	  .type = OPT_BOOL,
	  .offset = PEER(voter),
	  .default_value = 0,
	  .help = "whether it is a voter when the consensus group is created" },
	{ 0 }
};
static const struct option_group peer_group = { "cluster.peer",
						sizeof(struct peer_settings),
						peer_options };

#define CLUSTER(field) offsetof(struct cluster_settings, field)
#define KEY_OPTION(name, is_required, text)                                \
	{                                                                  \
		.key = #name, .type = OPT_STRING, .offset = CLUSTER(name), \
		.max = 4000, .required = (is_required), .help = (text)     \
	}
static const struct option_spec cluster_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = CLUSTER(name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name of the cluster; connections from processes of another "
		  "cluster are rejected" },
	KEY_OPTION(key_file, FALSE,
		   "file with the key shared by the cluster's processes"),
	KEY_OPTION(old_key_file, FALSE,
		   "file with a second key to accept, for a key rotation"),
	KEY_OPTION(operator_keys_file, FALSE,
		   "file with operators' keys, one per line: name role key"),
	KEY_OPTION(endpoint_key_file, FALSE,
		   "file with the key that endpoints authenticate with"),
	{ .key = "election_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(election_ms),
	  .min = 100,
	  .max = 60000,
	  .default_value = 600,
	  .unit = "ms",
	  .help = "minimum time without a leader before an election" },
	{ .key = "heartbeat_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(heartbeat_ms),
	  .min = 10,
	  .max = 10000,
	  .default_value = 100,
	  .unit = "ms",
	  .help = "interval between a leader's heartbeats" },
	{ .key = "drift_permille",
	  .type = OPT_INT,
	  .offset = CLUSTER(drift_permille),
	  .min = 1,
	  .max = 500,
	  .default_value = 50,
	  .help = "greatest difference between the rates of two VMs' clocks, "
		  "in permille" },
	{ .key = "replace_after_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(replace_after_ms),
	  .min = 500,
	  .max = 86400000,
	  .default_value = 5000,
	  .unit = "ms",
	  .help = "a voter silent for this long is replaced by a learner" },
	{ .key = "tolerated_losses",
	  .type = OPT_INT,
	  .offset = CLUSTER(tolerated_losses),
	  .max = 15,
	  .help = "number of voters that may fail at the same time; the "
		  "consensus group has twice as many voters plus one; 0: all "
		  "peers marked as voters" },
	{ .key = "seeds",
	  .type = OPT_STRINGS,
	  .offset = CLUSTER(seeds),
	  .max = 64,
	  .help = "IP:port of some control VMs; the other VMs are discovered "
		  "through them; all VMs use the same port for peers" },
	{ .key = "peer",
	  .type = OPT_TABLES,
	  .offset = CLUSTER(peers),
	  .subtable = &peer_group,
	  .max = 1024,
	  .help = "every VM of the cluster, this one included; not used "
		  "together with seeds" },
	{ 0 }
};
static const struct option_group cluster_group = {
	"cluster", sizeof(struct cluster_settings), cluster_options
};

#define LIMIT_OPTION(name, low, high, initial, units, text)                    \
	{                                                                      \
		.key = #name, .type = OPT_INT,                                 \
		.offset = offsetof(struct limit_settings, name), .min = (low), \
		.max = (high), .default_value = (initial), .unit = (units),    \
		.help = (text)                                                 \
	}
static const struct option_spec limit_options[] = {
	LIMIT_OPTION(header_bytes, 1024, 1048576, 32768, "bytes",
		     "largest header of a request"),
	LIMIT_OPTION(body_bytes, 1024, 67108864, 4194304, "bytes",
		     "largest body of a request"),
	LIMIT_OPTION(connections, 16, 1000000, 20000, NULL,
		     "concurrent connections of callers; another one closes "
		     "the one that is idle longest"),
	LIMIT_OPTION(memory_mb, 0, 16777216, 0, "MiB",
		     "memory of this VM; 0: as the system reports it"),
	LIMIT_OPTION(descriptors, 0, 16777216, 0, NULL,
		     "files and sockets that this process may open; 0: as the "
		     "system limits it"),
	LIMIT_OPTION(slow_sender_s, 1, 3600, 30, "s",
		     "timeout for each part of a caller's request"),
	LIMIT_OPTION(receive_s, 1, 86400, 120, "s",
		     "timeout for the whole of a client's request, from its "
		     "first byte to its last"),
	LIMIT_OPTION(address_max_age_s, 1, 3600, 10, "s",
		     "max-age of the address list sent to callers"),
	LIMIT_OPTION(announce_ms, 50, 60000, 400, "ms",
		     "interval between an endpoint's announcements"),
	LIMIT_OPTION(vm_silence_ms, 200, 600000, 1500, "ms",
		     "a VM without an announcement for longer is lost"),
	LIMIT_OPTION(home_silence_ms, 0, 600000, 0, "ms",
		     "timeout of the digests of a monitor (the process that "
		     "VMs announce to), after which its reports do not count; "
		     "0: vm_silence_ms"),
	LIMIT_OPTION(digest_ms, 20, 10000, 200, "ms",
		     "interval between a monitor's digests"),
	LIMIT_OPTION(config_lease_ms, 200, 60000, 2000, "ms",
		     "how long an entry uses its configuration without renewal "
		     "by the leader"),
	LIMIT_OPTION(drain_ms, 0, 3600000, 30000, "ms",
		     "how long a planned stop waits for requests in flight"),
	{ .key = "grace_s",
	  .type = OPT_SECONDS,
	  .offset = offsetof(struct limit_settings, grace_ms),
	  .max = 3600,
	  .unit = "s",
	  .help = "time after SIGTERM at which the supervisor kills the "
		  "process; drain_ms is cut to end in time; 0: never" },
	LIMIT_OPTION(queue_ms, 0, 600000, 10000, "ms",
		     "how long a request may wait for a free slot"),
	LIMIT_OPTION(subset, 0, 100000, 64, NULL,
		     "replicas of a service that one entry uses; 0: all"),
	LIMIT_OPTION(segment_bytes, 4096, 1073741824, 4194304, "bytes",
		     "size of a log segment"),
	LIMIT_OPTION(snapshot_entries, 16, 10000000, 4096, NULL,
		     "log entries between snapshots"),
	LIMIT_OPTION(weight_loads, 1, 10000, 2, NULL,
		     "replicas that may load weights concurrently"),
	LIMIT_OPTION(pause_wait_ms, 0, 600000, 1000, "ms",
		     "wait before replacing a silent VM, which may be paused"),
	LIMIT_OPTION(order_timeout_ms, 100, 60000, 1000, "ms",
		     "timeout for an engine to accept an order"),
	LIMIT_OPTION(stall_ms, 100, 600000, 1000, "ms",
		     "a replica that has requests but sends no output for this "
		     "long is avoided"),
	LIMIT_OPTION(head_stall_ms, 0, 600000, 0, "ms",
		     "time after which a head VM that has lost another VM of "
		     "its replica stops serving"),
	LIMIT_OPTION(early_wait_ms, 0, 60000, 1500, "ms",
		     "after a start, how long requests are held until the "
		     "entry has a configuration"),
	LIMIT_OPTION(presume_ms, 0, 60000, 0, "ms",
		     "after a start, how long replicas that were healthy "
		     "before are presumed healthy while nothing is known of "
		     "their VMs"),
	LIMIT_OPTION(repeat_permille, 0, 100000, 1000, NULL,
		     "retry budget: retries allowed per 1,000 requests"),
	LIMIT_OPTION(repeat_slack, 0, 1000000, 10000, NULL,
		     "retry budget: further retries allowed, over all entries"),
	LIMIT_OPTION(repeat_window_ms, 1000, 600000, 10000, "ms",
		     "retry budget: length of its sliding window"),
	LIMIT_OPTION(linger_ms, 0, 3600000, 0, "ms",
		     "how long a stopping entry still accepts new requests"),
	{ 0 }
};
static const struct option_group limit_group = { "limits",
						 sizeof(struct limit_settings),
						 limit_options };

static const struct option_spec log_options[] = {
	{ .key = "level",
	  .type = OPT_CHOICE,
	  .offset = offsetof(struct log_settings, level),
	  .choices = level_names,
	  .default_value = 3,
	  .help = "least severe level that is written" },
	{ .key = "format",
	  .type = OPT_CHOICE,
	  .offset = offsetof(struct log_settings, format),
	  .choices = format_names,
	  .default_value = 0,
	  .help = "format of a line" },
	{ 0 }
};
static const struct option_group log_group = { "log",
					       sizeof(struct log_settings),
					       log_options };

#define TABLE_OPTION(field, group, text)                           \
	{                                                          \
		.key = #field, .type = OPT_TABLE,                  \
		.offset = offsetof(struct daemon_settings, field), \
		.subtable = &(group), .help = (text)               \
	}
static const struct option_spec table_options[] = {
	TABLE_OPTION(node, node_group, "this VM"),
	TABLE_OPTION(listen, listen_group, "addresses this VM listens on"),
	TABLE_OPTION(cluster, cluster_group, "the cluster this VM belongs to"),
	TABLE_OPTION(limits, limit_group, "limits and timeouts"),
	TABLE_OPTION(log, log_group, "log output"),
	{ 0 }
};
static const struct option_group settings_group = {
	"settings", sizeof(struct daemon_settings), table_options
};

/* ---- checks beyond types and ranges ---- */

static void check_address(struct option_errors *errors, const char *key,
			  const char *text)
{
	struct address address;

	if (*text && !address_parse(text, &address))
		option_errors_add(errors, 0, key, "is \"%s\", must be IP:port",
				  text);
}

static void check_peers(const struct daemon_settings *s,
			struct option_errors *errors)
{
	const GPtrArray *peers = s->cluster.peers;
	bool voter = false;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		check_address(errors, "cluster.peer.peers", p->address);
		voter |= p->voter;
		for (guint j = 0; j < i; j++) {
			const struct peer_settings *q = peers->pdata[j];

			if (p->id == q->id)
				option_errors_add(errors, 0, "cluster.peer.id",
						  "%d is used by two peers",
						  (int)p->id);
		}
	}
	if (peers->len && !voter)
		option_errors_add(errors, 0, "cluster.peer.voter",
				  "at least one peer must be a voter");
	if (peers->len && !daemon_settings_own_peer(s))
		option_errors_add(errors, 0, "node.id",
				  "%d is not among the peers", (int)s->node.id);
}

/** A key that is required depending on other settings. */
struct required_key {
	const char *key;
	const char *value;
	bool required;
};

static void check_required_keys(const struct daemon_settings *s,
				struct option_errors *errors)
{
	bool native = s->node.interface == INTERFACE_NATIVE;
	bool entry = s->node.roles & ROLE_ENTRY;
	bool control = s->node.roles & ROLE_CONTROL;
	bool peers_listed = !daemon_settings_uses_seeds(s);
	const struct required_key keys[] = {
		{ "node.data_folder", s->node.data_folder, control || native },
		{ "listen.callers", s->listen.callers, entry || native },
		{ "listen.endpoints", s->listen.endpoints, native },
		{ "listen.operators", s->listen.operators, control || native },
		{ "listen.directory", s->listen.directory, control && !native },
		{ "listen.readiness", s->listen.readiness, entry && !native },
		{ "cluster.key_file", s->cluster.key_file, peers_listed },
		{ "cluster.operator_keys_file", s->cluster.operator_keys_file,
		  native },
		{ "cluster.endpoint_key_file", s->cluster.endpoint_key_file,
		  native },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (keys[i].required && !*keys[i].value &&
		    !option_errors_has_key(errors,
					   strchr(keys[i].key, '.') + 1))
			option_errors_add(errors, 0, keys[i].key, "is missing");
	if (peers_listed && !s->cluster.peers->len)
		option_errors_add(errors, 0, "cluster.peer",
				  "is missing and there are no seeds; give one "
				  "of them");
	if (!peers_listed && s->cluster.peers->len)
		option_errors_add(errors, 0, "cluster.seeds",
				  "cannot be combined with cluster.peer");
	if (peers_listed && !s->node.id && !option_errors_has_key(errors, "id"))
		option_errors_add(errors, 0, "node.id", "is missing");
}

static void check_addresses(const struct daemon_settings *s,
			    struct option_errors *errors)
{
	check_address(errors, "listen.callers", s->listen.callers);
	check_address(errors, "listen.endpoints", s->listen.endpoints);
	check_address(errors, "listen.operators", s->listen.operators);
	check_address(errors, "listen.peers", s->listen.peers);
	check_address(errors, "listen.directory", s->listen.directory);
	check_address(errors, "listen.readiness", s->listen.readiness);
	check_address(errors, "listen.metrics", s->listen.metrics);
	for (guint i = 0; i < s->cluster.seeds->len; i++)
		check_address(errors, "cluster.seeds",
			      s->cluster.seeds->pdata[i]);
}

static void check_relations(const struct daemon_settings *s,
			    struct option_errors *errors)
{
	check_addresses(s, errors);
	if (!daemon_settings_uses_seeds(s))
		check_peers(s, errors);
	if (s->cluster.heartbeat_ms * 3 > s->cluster.election_ms)
		option_errors_add(errors, 0, "cluster.heartbeat_ms",
				  "is %d, must be at most a third of "
				  "election_ms, %d",
				  (int)s->cluster.heartbeat_ms,
				  (int)s->cluster.election_ms);
	if (s->limits.announce_ms * 2 > s->limits.vm_silence_ms)
		option_errors_add(errors, 0, "limits.announce_ms",
				  "is %d, must be at most half of "
				  "vm_silence_ms, %d",
				  (int)s->limits.announce_ms,
				  (int)s->limits.vm_silence_ms);
}

/* ---- peers from seeds ---- */

static uint32_t node_id_from_address(const char *text)
{
	struct address address;

	return address_parse(text, &address)
		       ? ntohl(address.socket.sin_addr.s_addr)
		       : 0;
}

bool daemon_settings_uses_seeds(const struct daemon_settings *settings)
{
	return settings->cluster.seeds && settings->cluster.seeds->len;
}

void daemon_settings_node_address(const struct daemon_settings *settings,
				  uint32_t node, char *out, size_t size)
{
	struct address own;

	if (!address_parse(settings->listen.peers, &own))
		memset(&own, 0, sizeof(own));
	g_snprintf(out, size, "%u.%u.%u.%u:%u", node >> 24, node >> 16 & 255,
		   node >> 8 & 255, node & 255, own.port);
}

static void add_peer(struct daemon_settings *s, uint32_t node,
		     const char *data_centre, bool voter, bool control)
{
	struct peer_settings *peer = g_new0(struct peer_settings, 1);
	char address[ADDRESS_MAX];

	daemon_settings_node_address(s, node, address, sizeof(address));
	peer->id = node;
	peer->data_centre = g_strdup(data_centre);
	peer->address = g_strdup(address);
	peer->voter = voter;
	peer->control = control;
	g_ptr_array_add(s->cluster.peers, peer);
}

static void add_peers_from_seeds(struct daemon_settings *s)
{
	bool control = s->node.roles & ROLE_CONTROL;

	s->node.id = node_id_from_address(s->listen.peers);
	for (guint i = 0; i < s->cluster.seeds->len; i++) {
		uint32_t node =
			node_id_from_address(s->cluster.seeds->pdata[i]);

		if (node == s->node.id)
			add_peer(s, node, s->node.data_centre, true, true);
		else
			add_peer(s, node, "", true, true);
	}
	if (!daemon_settings_own_peer(s))
		add_peer(s, (uint32_t)s->node.id, s->node.data_centre, false,
			 control);
}

enum rd_result daemon_settings_load(const char *path,
				    struct daemon_settings *settings,
				    char **errors)
{
	struct option_errors collected;
	GError *error = NULL;
	char *text = NULL;

	memset(settings, 0, sizeof(*settings));
	option_errors_init(&collected, path);
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		option_errors_add(&collected, 0, "file", "%s", error->message);
		g_error_free(error);
		text = g_strdup("");
		(void)options_read_text(&settings_group, text, settings,
					&collected);
		g_ptr_array_set_size(collected.lines, 1);
	} else {
		bool valid = options_read_text(&settings_group, text, settings,
					       &collected);

		/* After a syntax error every key would be reported missing. */
		if (!option_errors_has_key(&collected, "syntax"))
			check_required_keys(settings, &collected);
		if (valid)
			check_relations(settings, &collected);
		if (!collected.lines->len &&
		    daemon_settings_uses_seeds(settings))
			add_peers_from_seeds(settings);
	}
	g_free(text);
	*errors = collected.lines->len ? option_errors_text(&collected) : NULL;
	option_errors_clear(&collected);
	return *errors ? RD_SETTINGS : RD_OK;
}

void daemon_settings_clear(struct daemon_settings *settings)
{
	options_clear(&settings_group, settings);
}

const struct peer_settings *daemon_settings_own_peer(
	const struct daemon_settings *settings)
{
	const GPtrArray *peers = settings->cluster.peers;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		if (p->id == settings->node.id)
			return p;
	}
	return NULL;
}

int32_t daemon_settings_monitor_timeout_ms(
	const struct daemon_settings *settings)
{
	const struct limit_settings *limits = &settings->limits;

	return (int32_t)(limits->home_silence_ms ? limits->home_silence_ms
						 : limits->vm_silence_ms);
}

int64_t daemon_settings_drain_ms(const struct daemon_settings *settings)
{
	const struct limit_settings *limits = &settings->limits;
	int64_t reserve_ms = MIN(STOP_RESERVE_MS,
				 limits->grace_ms / STOP_RESERVE_SHARE);

	if (!limits->grace_ms)
		return limits->drain_ms;
	if (settings->node.roles & ROLE_CONTROL)
		reserve_ms += HANDOVER_RESERVE_MS;
	return MIN(limits->drain_ms, MAX(0, limits->grace_ms - reserve_ms));
}

int64_t daemon_settings_stop_ms(const struct daemon_settings *settings)
{
	int64_t grace_ms = settings->limits.grace_ms;

	return grace_ms ? grace_ms - EXIT_RESERVE_MS : STOP_MAX_MS;
}

int64_t daemon_settings_linger_ms(const struct daemon_settings *settings)
{
	return MIN(settings->limits.linger_ms,
		   daemon_settings_drain_ms(settings) / 2);
}

uint32_t daemon_settings_voter_count(const struct daemon_settings *settings)
{
	const GPtrArray *peers = settings->cluster.peers;
	uint32_t count = 0;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		count += p->voter ? 1 : 0;
	}
	return settings->cluster.tolerated_losses
		       ? 2 * (uint32_t)settings->cluster.tolerated_losses + 1
		       : count;
}

void daemon_settings_append_reference(GString *out)
{
	options_append_reference(&settings_group, out);
}

GBytes *key_file_load(const char *path, char **error)
{
	struct stat st;
	char *text = NULL;
	GBytes *key;

	if (stat(path, &st)) {
		*error = g_strdup_printf("%s: %s", path, g_strerror(errno));
		return NULL;
	}
	if (st.st_mode & (S_IRWXG | S_IRWXO)) {
		*error = g_strdup_printf("%s: mode is %04o, must be 0600", path,
					 (unsigned)st.st_mode & 07777);
		return NULL;
	}
	if (st.st_size > KEY_FILE_MAX_BYTES ||
	    !g_file_get_contents(path, &text, NULL, NULL)) {
		*error = g_strdup_printf("%s: cannot be read or is larger than "
					 "1 MiB",
					 path);
		return NULL;
	}
	g_strstrip(text);
	if (strlen(text) < KEY_MIN_BYTES) {
		*error = g_strdup_printf("%s: key has %zu bytes, must have at "
					 "least %d",
					 path, strlen(text), KEY_MIN_BYTES);
		g_free(text);
		return NULL;
	}
	key = g_bytes_new(text, strlen(text));
	g_free(text);
	return key;
}
