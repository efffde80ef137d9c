#include <errno.h>
#include <stdio.h>
#include <string.h>

#include <sys/stat.h>

#include "common/address.h"
#include "settings/daemon.h"

#define KEY_BYTES_MIN 16
#define FILE_BYTES_MAX (1024 * 1024)

static const char *const role_names[] = { "entry", "control", NULL };
static const char *const level_names[] = { "error", "warn",  "note",
					   "info",  "debug", NULL };
static const char *const format_names[] = { "key-value", "json", NULL };

#define NODE(field) offsetof(struct node_settings, field)
static const struct option_row node_options[] = { { .key = "id",
						    .type = OPT_INT,
						    .offset = NODE(id),
						    .min = 1,
						    .max = 65535,
						    .required = TRUE,
						    .help = "number of this "
							    "VM, "
							    "not used by any "
							    "other" },
						  { .key = "data_centre",
						    .type = OPT_STRING,
						    .offset = NODE(data_centre),
						    .min = 1,
						    .max = 63,
						    .required = TRUE,
						    .help = "data centre this "
							    "VM "
							    "stands in" },
						  { .key = "roles",
						    .type = OPT_FLAGS,
						    .offset = NODE(roles),
						    .choices = role_names,
						    .required = TRUE,
						    .help = "what this VM "
							    "does" },
						  { .key = "data_folder",
						    .type = OPT_STRING,
						    .offset = NODE(data_folder),
						    .min = 1,
						    .max = 4000,
						    .required = TRUE,
						    .help = "folder that holds "
							    "everything this "
							    "VM "
							    "stores" },
						  { 0 } };
static const struct option_group node_group = { "node",
						sizeof(struct node_settings),
						node_options };

#define LISTEN(field) offsetof(struct listen_settings, field)
#define LISTEN_OPTION(name, text)                                         \
	{                                                                 \
		.key = #name, .type = OPT_STRING, .offset = LISTEN(name), \
		.min = 1, .max = 63, .required = TRUE, .help = (text)     \
	}
static const struct option_row listen_options[] = {
	LISTEN_OPTION(callers, "IP:port for callers"),
	LISTEN_OPTION(endpoints, "IP:port for endpoints' announcements"),
	LISTEN_OPTION(operators, "IP:port for operators"),
	LISTEN_OPTION(peers, "IP:port for the system's other processes"),
	{ 0 }
};
static const struct option_group listen_group = {
	"listen", sizeof(struct listen_settings), listen_options
};

#define PEER(field) offsetof(struct peer_settings, field)
static const struct option_row peer_options[] = { { .key = "id",
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
						    .offset = PEER(peers),
						    .min = 1,
						    .max = 63,
						    .required = TRUE,
						    .help = "IP:port of its "
							    "peers port" },
						  { .key = "control",
						    .type = OPT_BOOL,
						    .offset = PEER(control),
						    .fallback = 1,
						    .help = "whether it has "
							    "the "
							    "control role" },
						  { .key = "voter",
						    .type = OPT_BOOL,
						    .offset = PEER(voter),
						    .fallback = 0,
						    .help = "whether it votes "
							    "when the group is "
							    "first made" },
						  { 0 } };
static const struct option_group peer_group = { "cluster.peer",
						sizeof(struct peer_settings),
						peer_options };

#define CLUSTER(field) offsetof(struct cluster_settings, field)
#define KEY_OPTION(name, need, text)                                       \
	{                                                                  \
		.key = #name, .type = OPT_STRING, .offset = CLUSTER(name), \
		.max = 4000, .required = (need), .help = (text)            \
	}
static const struct option_row cluster_options[] = {
	{ .key = "name",
	  .type = OPT_STRING,
	  .offset = CLUSTER(name),
	  .min = 1,
	  .max = 63,
	  .required = TRUE,
	  .help = "name of the system; processes of another one are refused" },
	KEY_OPTION(key_file, TRUE, "file with the key of the system"),
	KEY_OPTION(old_key_file, FALSE, "key accepted besides, while changing"),
	KEY_OPTION(operator_keys_file, TRUE,
		   "file with operators' keys: name role key, a line each"),
	KEY_OPTION(endpoint_key_file, TRUE, "key that endpoints announce with"),
	{ .key = "election_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(election_ms),
	  .min = 100,
	  .max = 60000,
	  .fallback = 600,
	  .unit = "ms",
	  .help = "least time without a leader before an election" },
	{ .key = "heartbeat_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(heartbeat_ms),
	  .min = 10,
	  .max = 10000,
	  .fallback = 100,
	  .unit = "ms",
	  .help = "time between a leader's heartbeats" },
	{ .key = "drift_permille",
	  .type = OPT_INT,
	  .offset = CLUSTER(drift_permille),
	  .min = 1,
	  .max = 500,
	  .fallback = 50,
	  .help = "by how much the rates of two VMs' clocks may differ" },
	{ .key = "replace_after_ms",
	  .type = OPT_INT,
	  .offset = CLUSTER(replace_after_ms),
	  .min = 500,
	  .max = 86400000,
	  .fallback = 5000,
	  .unit = "ms",
	  .help = "a voter silent for this long is replaced by a learner" },
	{ .key = "peer",
	  .type = OPT_TABLES,
	  .offset = CLUSTER(peers),
	  .sub = &peer_group,
	  .min = 1,
	  .max = 1024,
	  .required = TRUE,
	  .help = "every VM of the system, this one too" },
	{ 0 }
};
static const struct option_group cluster_group = {
	"cluster", sizeof(struct cluster_settings), cluster_options
};

#define LIMIT_OPTION(name, low, high, standard, measure, text)                 \
	{                                                                      \
		.key = #name, .type = OPT_INT,                                 \
		.offset = offsetof(struct limit_settings, name), .min = (low), \
		.max = (high), .fallback = (standard), .unit = (measure),      \
		.help = (text)                                                 \
	}
static const struct option_row limit_options[] = {
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
	{ 0 }
};
static const struct option_group limit_group = { "limits",
						 sizeof(struct limit_settings),
						 limit_options };

static const struct option_row log_options[] = {
	{ .key = "level",
	  .type = OPT_CHOICE,
	  .offset = offsetof(struct log_settings, level),
	  .choices = level_names,
	  .fallback = 3,
	  .help = "least level written" },
	{ .key = "format",
	  .type = OPT_CHOICE,
	  .offset = offsetof(struct log_settings, format),
	  .choices = format_names,
	  .fallback = 0,
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
		.sub = &(group), .help = (text)                    \
	}
static const struct option_row top_options[] = {
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

		check_address(errors, "cluster.peer.peers", p->peers);
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
	if (peers->len && !daemon_settings_self(s))
		option_errors_add(errors, 0, "node.id",
				  "%d is not among the peers", (int)s->node.id);
}

static void check_rules(const struct daemon_settings *s,
			struct option_errors *errors)
{
	check_address(errors, "listen.callers", s->listen.callers);
	check_address(errors, "listen.endpoints", s->listen.endpoints);
	check_address(errors, "listen.operators", s->listen.operators);
	check_address(errors, "listen.peers", s->listen.peers);
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
	} else if (options_read_text(&top_group, text, settings, &found)) {
		check_rules(settings, &found);
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

const struct peer_settings *daemon_settings_self(
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

void daemon_settings_print(GString *out)
{
	options_print(&top_group, out);
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
