/* The rig on the platform's interface: its processes and configurations. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <sys/prctl.h>

#include "common/address.h"
#include "soak/platform.h"

#define READY_WAIT_MS 30000
#define READY_POLL_US 100000
#define MODEL_FIRST_HOST 100
#define PLAIN_FIRST_HOST 200
#define PLAIN_MS 40

enum port {
	PORT_PEERS,
	PORT_METRICS,
	PORT_CALLERS, /* of a control VM: the directory */
	PORT_OPERATORS,
	PORTS
};

static struct platform_rig *rig_of(const struct soak *soak)
{
	return soak->rig_state;
}

/* ---- daemons ---- */

/* Lets the kernel choose ports; holding all at once keeps them distinct. */
static void choose_ports(int *ports)
{
	int fds[PORTS];
	struct address any;

	(void)address_parse("127.0.0.1:0", &any);
	for (int i = 0; i < PORTS; i++) {
		fds[i] = address_listen(&any, 1);
		ports[i] = address_local_port(fds[i]);
	}
	for (int i = 0; i < PORTS; i++)
		close(fds[i]);
}

static void set_addresses(struct soak *soak)
{
	const struct platform_rig *rig = rig_of(soak);
	int ports[PORTS];

	choose_ports(ports);
	for (int i = 0; i < soak->cluster->node_count; i++) {
		struct cluster_node *n = &soak->cluster->nodes[i];
		struct {
			char *text;
			enum port port;
		} addresses[] = {
			{ n->peers, PORT_PEERS },
			{ n->endpoints, PORT_METRICS },
			{ n->callers, PORT_CALLERS },
			{ n->operators, PORT_OPERATORS },
		};

		n->number = i + 1;
		for (size_t j = 0; j < G_N_ELEMENTS(addresses); j++)
			g_snprintf(addresses[j].text, sizeof(n->peers),
				   "%s.%d:%d", rig->network, i + 1,
				   ports[addresses[j].port]);
	}
}

static char *control_addresses(const struct cluster *c, const char *quote)
{
	return g_strdup_printf("%s%s%s,%s%s%s,%s%s%s", quote,
			       c->nodes[0].operators, quote, quote,
			       c->nodes[1].operators, quote, quote,
			       c->nodes[2].operators, quote);
}

/* As deploy/control.toml.in renders them. */
static void add_control_settings(const struct cluster *c, int node,
				 GString *text)
{
	const struct cluster_node *n = &c->nodes[node - 1];

	g_string_append_printf(text,
			       "[listen]\noperators = \"%s\"\ndirectory = "
			       "\"%s\"\npeers = \"%s\"\nmetrics = \"%s\"\n",
			       n->operators, n->callers, n->peers,
			       n->endpoints);
	g_string_append(text, "[limits]\nvm_silence_ms = 3200\n"
			      "home_silence_ms = 6500\ndigest_ms = 250\n"
			      "config_lease_ms = 1500\nannounce_ms = 500\n"
			      "address_max_age_s = 2\nweight_loads = 2\n"
			      "pause_wait_ms = 0\nhead_stall_ms = 5000\n"
			      "segment_bytes = 1048576\n"
			      "snapshot_entries = 16\n");
}

/* As deploy/entry.toml.in renders them. */
static void add_entry_settings(const struct cluster *c, int node, GString *text)
{
	const struct cluster_node *n = &c->nodes[node - 1];

	g_string_append_printf(text,
			       "[listen]\ncallers = \"%s\"\nreadiness = "
			       "\"%s\"\npeers = \"%s\"\nmetrics = \"%s\"\n",
			       n->callers, n->operators, n->peers,
			       n->endpoints);
	g_string_append_printf(text,
			       "[limits]\nvm_silence_ms = 3200\n"
			       "home_silence_ms = 6500\ndigest_ms = 250\n"
			       "config_lease_ms = 1500\nannounce_ms = 500\n"
			       "address_max_age_s = 2\nslow_sender_s = 30\n"
			       "body_bytes = 16777216\nqueue_ms = 1400\n"
			       "stall_ms = 1000\npresume_ms = 2800\n"
			       "grace_s = %d\nlinger_ms = %d\n"
			       "repeat_permille = 170\nrepeat_slack = 130\n"
			       "repeat_window_ms = 10000\n",
			       SOAK_GRACE_MS / 1000, SOAK_LINGER_MS);
}

static void write_settings(struct cluster *c, int node)
{
	bool entry = node > PLATFORM_CONTROL_VMS;
	char *seeds = control_addresses(c, "\"");
	char *name = g_strdup_printf("node%d.toml", node);
	GString *text = g_string_new("[node]\ninterface = \"platform\"\n"
				     "data_centre = \"a\"\n");

	g_string_append_printf(text, "roles = [\"%s\"]\n",
			       entry ? "entry" : "control");
	if (!entry)
		g_string_append_printf(text, "data_folder = \"%s/data%d\"\n",
				       c->folder, node);
	g_string_append_printf(text,
			       "[cluster]\nname = \"soak\"\nseeds = [%s]\n"
			       "tolerated_losses = 1\n%s",
			       seeds,
			       entry ? ""
				     : "election_ms = 500\nheartbeat_ms = 100\n"
				       "replace_after_ms = 2500\n");
	if (entry)
		add_entry_settings(c, node, text);
	else
		add_control_settings(c, node, text);
	g_string_append(text, "[log]\nlevel = \"info\"\nformat = \"json\"\n");
	c->nodes[node - 1].settings = cluster_path(c, name);
	if (!g_file_set_contents(c->nodes[node - 1].settings, text->str, -1,
				 NULL))
		cluster_fail("%s: cannot be written", name);
	g_string_free(text, TRUE);
	g_free(seeds);
	g_free(name);
}

static void start_daemons(struct soak *soak)
{
	struct cluster *c = soak->cluster;

	c->node_count = PLATFORM_CONTROL_VMS + SOAK_ENTRIES;
	c->daemon = g_strdup(soak->opts.platform.daemon);
	set_addresses(soak);
	for (int node = 1; node <= c->node_count; node++) {
		write_settings(c, node);
		cluster_start_node(c, node);
	}
}

/* ---- endpoints and load ---- */

static pid_t start_endpoints(struct soak *soak, const char *service, int first,
			     int count, const char *plain_ms)
{
	char *controls = control_addresses(soak->cluster, "");
	char *log_name = g_strdup_printf("%s.jsonl", service);
	char *log = cluster_path(soak->cluster, log_name);
	char *numbers[] = { g_strdup_printf("%d", first),
			    g_strdup_printf("%d", count),
			    g_strdup_printf("%u", soak->opts.seed),
			    g_strdup_printf("%d", soak->opts.platform.stride) };
	const char *arguments[] = { "--network",
				    rig_of(soak)->network,
				    "--controls",
				    controls,
				    "--service",
				    service,
				    "--log",
				    log,
				    "--first",
				    numbers[0],
				    "--count",
				    numbers[1],
				    "--seed",
				    numbers[2],
				    "--stride",
				    numbers[3],
				    plain_ms ? "--plain-ms" : NULL,
				    plain_ms,
				    NULL };
	pid_t pid = cluster_start_plain_fake(
		soak->cluster, "fake_platform_engine", service, arguments);

	for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
		g_free(numbers[i]);
	g_free(controls);
	g_free(log_name);
	g_free(log);
	return pid;
}

/* Processes that spin, as a machine with other work has. */
static void start_busy_loops(const struct soak *soak)
{
	for (int i = 0; i < soak->opts.platform.busy; i++) {
		pid_t pid = fork();

		if (!pid) {
			prctl(PR_SET_PDEATHSIG, SIGKILL);
			for (volatile unsigned n = 0;; n++)
				;
		}
		if (pid > 0)
			g_ptr_array_add(soak->cluster->children,
					GINT_TO_POINTER(pid));
	}
}

/* ---- set-up ---- */

static void change(struct soak *soak, int node, int n)
{
	(void)node;
	if (!platform_put_config(soak, n + 1))
		printf("seed %u: no control VM accepted configuration %d\n",
		       soak->opts.seed, n + 1);
}

static bool is_served(const struct soak *soak, int node, const char *model)
{
	const char *const headers[] = {
		"Host",	      PLATFORM_HOST, "X-Api-Key",	 PLATFORM_KEY,
		"Attempt-Id", "set-up",	     "Request-Deadline", "3000",
		"Model-Name", model,	     "Token-Count",	 "100,10",
		NULL
	};
	struct fetch_request request = {
		.address = soak->cluster->nodes[node - 1].callers,
		.method = "POST",
		.path = "/chat/set-up",
		.headers = headers,
		.body = "",
		.body_size = -1,
		.timeout_ms = 3000,
	};
	struct fetch_response answer;
	bool served = fetch(&request, &answer) && answer.status == 200;

	fetch_clear(&answer);
	return served;
}

static void wait_until_served(struct soak *soak)
{
	gint64 deadline = cluster_now_ms() + READY_WAIT_MS;

	for (int node = PLATFORM_CONTROL_VMS + 1; node <= soak->opts.rig->nodes;
	     node++)
		while (!is_served(soak, node, "big") ||
		       !is_served(soak, node, "small")) {
			if (cluster_now_ms() > deadline)
				cluster_fail("node %d serves no model", node);
			g_usleep(READY_POLL_US);
		}
}

static struct cluster *set_up(struct soak *soak)
{
	struct platform_rig *rig = g_new0(struct platform_rig, 1);
	const struct soak_platform_opts *opts = &soak->opts.platform;
	unsigned pid = (unsigned)getpid();

	soak->rig_state = rig;
	soak->cluster = cluster_create(false);
	g_snprintf(rig->network, sizeof(rig->network), "127.%u.%u",
		   1 + (pid >> 8) % 99, pid & 255);
	start_daemons(soak);
	rig->engine = start_endpoints(soak, "models", MODEL_FIRST_HOST,
				      opts->vms, NULL);
	start_endpoints(soak, "web", PLAIN_FIRST_HOST, opts->plain_vms,
			G_STRINGIFY(PLAIN_MS));
	if (!platform_put_config(soak, 1))
		cluster_fail("no control VM accepted the configuration");
	wait_until_served(soak);
	start_busy_loops(soak);
	rig->faults = platform_faults_create(soak);
	return soak->cluster;
}

static void make_faults(struct soak *soak)
{
	if (soak->opts.platform.faults)
		platform_faults_run(rig_of(soak)->faults);
}

static void clear(struct soak *soak)
{
	platform_faults_free(rig_of(soak)->faults);
	g_free(soak->rig_state);
}

static const char *const logs[] = { "models.jsonl", "web.jsonl", NULL };

const struct soak_rig platform_rig = {
	.first_entry = PLATFORM_CONTROL_VMS + 1,
	.nodes = PLATFORM_CONTROL_VMS + SOAK_ENTRIES,
	.logs = logs,
	.set_up = set_up,
	.clear = clear,
	.change = change,
	.make_faults = make_faults,
	.refresh_caller = platform_refresh_caller,
	.choose_entry = platform_choose_entry,
	.make_call = platform_make_call,
	.free_caller = platform_free_caller,
};
