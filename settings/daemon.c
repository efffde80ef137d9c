#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sys/stat.h>

#include "common/address.h"
#include "settings/daemon.h"

#define KEY_BYTES_MIN 16
#define FILE_BYTES_MAX (1024 * 1024)

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
	  .help = "number of this VM, not used by any other; taken from its "
		  "IP address where there are seeds" },
	{ .key = "interface",
	  .type = OPT_CHOICE,
	  .offset = NODE(interface),
	  .choices = interface_names,
	  .default_value = INTERFACE_NATIVE,
	  .help = "what callers, endpoints and operators speak" },
	{ .key = "bootstrap",
	  .type = OPT_BOOL,
	  .offset = NODE(bootstrap),
	  .default_value = 0,
	  .help = "whether the whole system starts for the first time" },
	{ .key = "data_centre",
	  .type = OPT_STRING,
	  .offset = NODE(data_centre),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "data centre this VM stands in" },
	{ .key = "roles",
	  .type = OPT_FLAGS,
	  .offset = NODE(roles),
	  .choices = role_names,
	  .required = TRUE,
	  .help = "what this VM does" },
	{ .key = "data_folder",
	  .type = OPT_STRING,
	  .offset = NODE(data_folder),
	  .max = 4000,
	  .help = "folder that holds everything this VM stores; needed for "
		  "the control role" },
	{ 0 }
};
static const struct option_group node_group = { "node",
						sizeof(struct node_settings),
						node_options };

#define LISTEN(field) offsetof(struct listen_settings, field)
#define LISTEN_OPTION(name, need, text)                                   \
	{                                                                 \
		.key = #name, .type = OPT_STRING, .offset = LISTEN(name), \
		.max = 63, .required = (need), .help = (text)             \
	}
static const struct option_spec listen_options[] = {
	LISTEN_OPTION(callers, FALSE, "IP:port for callers"),
	LISTEN_OPTION(endpoints, FALSE, "IP:port for endpoints' announcements"),
	LISTEN_OPTION(operators, FALSE, "IP:port for operators"),
	LISTEN_OPTION(peers, TRUE, "IP:port for the system's other processes"),
	LISTEN_OPTION(directory, FALSE,
		      "IP:port where callers ask for entries' addresses"),
	LISTEN_OPTION(readiness, FALSE,
		      "IP:port that says if this entry takes callers"),
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
	  .help = "number of the "
		  "VM" },
	{ .key = "data_centre",
	  .type = OPT_STRING,
	  .offset = PEER(data_centre),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "data centre it "
		  "stands in" },
	{ .key = "peers",
	  .type = OPT_STRING,
	  .offset = PEER(address),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "IP:port of its "
		  "peers port" },
	{ .key = "control",
	  .type = OPT_BOOL,
	  .offset = PEER(control),
	  .default_value = 1,
	  .help = "whether it has "
		  "the "
		  "control role" },
	{ .key = "voter",
	  .type = OPT_BOOL,
	  .offset = PEER(voter),
	  .default_value = 0,
	  .help = "whether it votes "
		  "when the group is "
		  "first made" },
	{ 0 }
};
static const struct option_group peer_group = { "cluster.peer",
						sizeof(struct peer_settings),
						peer_options };

#define CLUSTER(field) offsetof(struct cluster_settings, field)
#define KEY_OPTION(name, need, text)                                       \
	{                                                                  \
		.key = #name, .type = OPT_STRING, .offset = CLUSTER(name), \
		.max = 4000, .required = (need), .help = (text)            \
	}
static const struct option_spec cluster_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = CLUSTER(name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name of the system; processes of another one are refused" },
	KEY_OPTION(key_file, FALSE, "file with the key of the system"),
	KEY_OPTION(old_key_file, FALSE, "key accepted besides, while changing"),
	KEY_OPTION(operator_keys_file, FALSE,
		   "file with operators' keys: name role key, a line each"),
	KEY_OPTION(endpoint_key_file, FALSE,
		   "key that endpoints announce with"),
	{ .key = "election_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(election_ms),
	  .min = 100,
	  .max = 60000,
	  .default_value = 600,
	  .unit = "ms",
	  .help = "least time without a leader before an election" },
	{ .key = "heartbeat_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(heartbeat_ms),
	  .min = 10,
	  .max = 10000,
	  .default_value = 100,
	  .unit = "ms",
	  .help = "time between a leader's heartbeats" },
	{ .key = "drift_permille",
	  .type = OPT_INT,
	  .offset = CLUSTER(drift_permille),
	  .min = 1,
	  .max = 500,
	  .default_value = 50,
	  .help = "by how much the rates of two VMs' clocks may differ" },
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
	  .help = "voters that may be lost at once, so that twice as many and "
		  "one vote; 0: as many vote as peers are marked" },
	{ .key = "seeds",
	  .type = OPT_STRINGS,
	  .offset = CLUSTER(seeds),
	  .max = 64,
	  .help = "IP:port of some control VMs; the other VMs are found "
		  "through them, all with the same peers port" },
	{ .key = "peer",
	  .type = OPT_TABLES,
	  .offset = CLUSTER(peers),
	  .subtable = &peer_group,
	  .max = 1024,
	  .help = "every VM of the system, this one too, unless there are "
		  "seeds" },
	{ 0 }
};
static const struct option_group cluster_group = {
	"cluster", sizeof(struct cluster_settings), cluster_options
};

#define LIMIT_OPTION(name, low, high, standard, measure, text)                 \
	{                                                                      \
		.key = #name, .type = OPT_INT,                                 \
		.offset = offsetof(struct limit_settings, name), .min = (low), \
		.max = (high), .default_value = (standard), .unit = (measure), \
		.help = (text)                                                 \
	}
static const struct option_spec limit_options[] = {
	LIMIT_OPTION(header_bytes, 1024, 1048576, 32768, "bytes",
		     "greatest header of a request"),
	LIMIT_OPTION(body_bytes, 1024, 67108864, 4194304, "bytes",
		     "greatest body of a request"),
	LIMIT_OPTION(connections, 16, 1000000, 20000, NULL,
		     "connections of callers at once"),
	LIMIT_OPTION(slow_sender_s, 1, 3600, 30, "s",
		     "time a caller has for each part of its request"),
	LIMIT_OPTION(address_max_age_s, 1, 3600, 10, "s",
		     "how long callers keep an address answer"),
	LIMIT_OPTION(announce_ms, 50, 60000, 400, "ms",
		     "time between an endpoint's announcements"),
	LIMIT_OPTION(vm_silence_ms, 200, 600000, 1500, "ms",
		     "a VM silent for longer is lost"),
	LIMIT_OPTION(home_silence_ms, 0, 600000, 0, "ms",
		     "a home silent for longer vouches for no VM; 0: as long "
		     "as vm_silence_ms"),
	LIMIT_OPTION(digest_ms, 20, 10000, 200, "ms",
		     "time between evidence digests"),
	LIMIT_OPTION(config_lease_ms, 200, 60000, 2000, "ms",
		     "how long an entry serves by a configuration unrenewed"),
	LIMIT_OPTION(drain_ms, 0, 3600000, 30000, "ms",
		     "how long a stop waits for work in flight"),
	LIMIT_OPTION(queue_ms, 0, 600000, 10000, "ms",
		     "how long a request may wait for a slot"),
	LIMIT_OPTION(subset, 0, 100000, 64, NULL,
		     "replicas of a service one entry uses; 0 is all"),
	LIMIT_OPTION(segment_bytes, 4096, 1073741824, 4194304, "bytes",
		     "size of a log segment"),
	LIMIT_OPTION(snapshot_entries, 16, 10000000, 4096, NULL,
		     "log entries between snapshots"),
	LIMIT_OPTION(weight_loads, 1, 10000, 2, NULL,
		     "replicas that may load weights at once"),
	LIMIT_OPTION(pause_wait_ms, 0, 600000, 1000, "ms",
		     "how long a repair waits for a VM that may be pausing"),
	LIMIT_OPTION(order_timeout_ms, 100, 60000, 1000, "ms",
		     "time an engine has to accept an order"),
	LIMIT_OPTION(stall_ms, 100, 600000, 1000, "ms",
		     "an engine silent for this long, with work, is avoided"),
	LIMIT_OPTION(head_stall_ms, 0, 600000, 0, "ms",
		     "a head without one of its VMs stops serving after this"),
	LIMIT_OPTION(early_wait_ms, 0, 60000, 1500, "ms",
		     "after a start, requests wait so long at most for the "
		     "configuration to come"),
	LIMIT_OPTION(presume_ms, 0, 60000, 0, "ms",
		     "after a start, replicas that were whole before count as "
		     "whole until their VMs are heard of, so long at most"),
	LIMIT_OPTION(repeat_permille, 0, 100000, 1000, NULL,
		     "second sends allowed for 1,000 requests"),
	LIMIT_OPTION(repeat_slack, 0, 1000000, 10000, NULL,
		     "second sends allowed besides, over all entries"),
	LIMIT_OPTION(repeat_window_ms, 1000, 600000, 10000, "ms",
		     "over which second sends are counted"),
	LIMIT_OPTION(linger_ms, 0, 3600000, 0, "ms",
		     "how long a stopping entry still takes new requests"),
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
	  .help = "least level written" },
	{ .key = "format",
	  .type = OPT_CHOICE,
	  .offset = offsetof(struct log_settings, format),
	  .choices = format_names,
	  .default_value = 0,
	  .help = "form of a line" },
	{ 0 }
};
static const struct option_group log_group = { "log",
					       sizeof(struct log_settings),
					       log_options };

#define TOP(field, group, text)                                    \
	{                                                          \
		.key = #field, .type = OPT_TABLE,                  \
		.offset = offsetof(struct daemon_settings, field), \
		.subtable = &(group), .help = (text)               \
	}
static const struct option_spec top_options[] = {
	TOP(node, node_group, "this VM"),
	TOP(listen, listen_group, "its addresses"),
	TOP(cluster, cluster_group, "the system it belongs to"),
	TOP(limits, limit_group, "limits and times"),
	TOP(log, log_group, "what is logged"),
	{ 0 }
};
static const struct option_group top_group = { "settings",
					       sizeof(struct daemon_settings),
					       top_options };

/* ---- rules between keys ---- */

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
						  "%d is given twice",
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

/** A key that a process cannot do without. */
struct needed {
	const char *key;
	const char *value;
	bool needed;
};

static void check_needed(const struct daemon_settings *s,
			 struct option_errors *errors)
{
	bool native = s->node.interface == INTERFACE_NATIVE;
	bool entry = s->node.roles & ROLE_ENTRY;
	bool control = s->node.roles & ROLE_CONTROL;
	bool listed = !daemon_settings_uses_seeds(s);
	const struct needed all[] = {
		{ "node.data_folder", s->node.data_folder, control || native },
		{ "listen.callers", s->listen.callers, entry || native },
		{ "listen.endpoints", s->listen.endpoints, native },
		{ "listen.operators", s->listen.operators, control || native },
		{ "listen.directory", s->listen.directory, control && !native },
		{ "listen.readiness", s->listen.readiness, entry && !native },
		{ "cluster.key_file", s->cluster.key_file, listed },
		{ "cluster.operator_keys_file", s->cluster.operator_keys_file,
		  native },
		{ "cluster.endpoint_key_file", s->cluster.endpoint_key_file,
		  native },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(all); i++)
		if (all[i].needed && !*all[i].value &&
		    !option_errors_has_key(errors, strchr(all[i].key, '.') + 1))
			option_errors_add(errors, 0, all[i].key, "is missing");
	if (listed && !s->cluster.peers->len)
		option_errors_add(errors, 0, "cluster.peer",
				  "is missing, and there are no seeds");
	if (!listed && s->cluster.peers->len)
		option_errors_add(errors, 0, "cluster.seeds",
				  "cannot stand beside cluster.peer");
	if (listed && !s->node.id && !option_errors_has_key(errors, "id"))
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

static void check_rules(const struct daemon_settings *s,
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

/* ---- peers out of seeds ---- */

static uint32_t node_of_address(const char *text)
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

static void peers_from_seeds(struct daemon_settings *s)
{
	bool control = s->node.roles & ROLE_CONTROL;

	s->node.id = node_of_address(s->listen.peers);
	for (guint i = 0; i < s->cluster.seeds->len; i++) {
		uint32_t node = node_of_address(s->cluster.seeds->pdata[i]);

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
	struct option_errors found;
	GError *error = NULL;
	char *text = NULL;

	memset(settings, 0, sizeof(*settings));
	option_errors_init(&found, path);
	if (!g_file_get_contents(path, &text, NULL, &error)) {
		option_errors_add(&found, 0, "file", "%s", error->message);
		g_error_free(error);
		text = g_strdup("");
		(void)options_read_text(&top_group, text, settings, &found);
		g_ptr_array_set_size(found.lines, 1);
	} else {
		bool whole = options_read_text(&top_group, text, settings,
					       &found);

		/* Listed with all other errors, but not for unread text. */
		if (!option_errors_has_key(&found, "syntax"))
			check_needed(settings, &found);
		if (whole)
			check_rules(settings, &found);
		if (!found.lines->len && daemon_settings_uses_seeds(settings))
			peers_from_seeds(settings);
	}
	g_free(text);
	*errors = found.lines->len ? option_errors_text(&found) : NULL;
	option_errors_clear(&found);
	return *errors ? RD_SETTINGS : RD_OK;
}

void daemon_settings_clear(struct daemon_settings *settings)
{
	options_clear(&top_group, settings);
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
	options_append_reference(&top_group, out);
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
	if (st.st_size > FILE_BYTES_MAX ||
	    !g_file_get_contents(path, &text, NULL, NULL)) {
		*error = g_strdup_printf("%s: cannot be read", path);
		return NULL;
	}
	g_strstrip(text);
	if (strlen(text) < KEY_BYTES_MIN) {
		*error = g_strdup_printf("%s: key has %zu bytes, least is %d",
					 path, strlen(text), KEY_BYTES_MIN);
		g_free(text);
		return NULL;
	}
	key = g_bytes_new(text, strlen(text));
	g_free(text);
	return key;
}
