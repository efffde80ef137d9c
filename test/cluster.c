#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ftw.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <radishdeal/result.h>

#include "common/address.h"
#include "test/cluster.h"

#define READ_TIMEOUT_MS 3000
#define CHANGE_TIMEOUT_MS 20000
#define POLL_US 20000
#define KEY_BYTES 24
#define VOTERS_MAX 3
#define WAIT_TEXT G_STRINGIFY(CLUSTER_WAIT_MS) " ms"

extern char **environ;

static struct cluster *active_cluster; /* cleaned up by cluster_fail() */

void cluster_fail(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vfprintf(stderr, fmt, ap);
	va_end(ap);
	fprintf(stderr, "\n");
	if (getenv("KEEP_FAILED"))
		setenv("KEEP", "1", 1);
	if (active_cluster)
		cluster_destroy(active_cluster);
	exit(1);
}

gint64 cluster_now_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

char *cluster_path(const struct cluster *c, const char *name)
{
	return g_build_filename(c->folder, name, NULL);
}

/* ---- processes ---- */

static pid_t spawn(const struct cluster *c, const char *program,
		   const char *log_name, const char *const *arguments)
{
	char *path = g_path_is_absolute(program)
			     ? g_strdup(program)
			     : g_build_filename(c->bin, program, NULL);
	char *log = cluster_path(c, log_name);
	GPtrArray *argv = g_ptr_array_new();
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attributes;
	sigset_t none;
	pid_t pid;
	int error;

	g_ptr_array_add(argv, path);
	for (; *arguments; arguments++)
		g_ptr_array_add(argv, (char *)*arguments);
	g_ptr_array_add(argv, NULL);
	posix_spawn_file_actions_init(&actions);
	posix_spawn_file_actions_addopen(&actions, 1, log,
					 O_WRONLY | O_CREAT | O_APPEND, 0600);
	posix_spawn_file_actions_adddup2(&actions, 1, 2);
	sigemptyset(&none);
	posix_spawnattr_init(&attributes);
	posix_spawnattr_setsigmask(&attributes, &none);
	posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK);
	error = posix_spawn(&pid, path, &actions, &attributes,
			    (char **)argv->pdata, environ);
	posix_spawnattr_destroy(&attributes);
	posix_spawn_file_actions_destroy(&actions);
	g_ptr_array_unref(argv);
	if (error)
		cluster_fail("%s, log %s: %s", path, log, g_strerror(error));
	g_free(path);
	g_free(log);
	return pid;
}

static void kill_process(pid_t pid)
{
	if (!pid)
		return;
	kill(pid, SIGCONT);
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

/* ---- files ---- */

static char *make_key(void)
{
	GString *key = g_string_new(NULL);

	for (int i = 0; i < KEY_BYTES; i++)
		g_string_append_printf(key, "%02x",
				       (unsigned)g_random_int_range(0, 256));
	return g_string_free(key, FALSE);
}

static void write_file(const struct cluster *c, const char *name,
		       const char *text)
{
	char *path = cluster_path(c, name);
	int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	if (fd < 0 || write(fd, text, strlen(text)) != (ssize_t)strlen(text))
		cluster_fail("%s: %s", path, g_strerror(errno));
	close(fd);
	g_free(path);
}

static int remove_entry(const char *path, const struct stat *st, int flag,
			struct FTW *ftw)
{
	(void)st;
	(void)flag;
	(void)ftw;
	return remove(path);
}

static void remove_folder(const char *path)
{
	(void)nftw(path, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
}

char *cluster_key_hash(const char *key)
{
	return g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
}

/* ---- creation and removal ---- */

/* Derives a loopback address from the pid: no other run uses its ports. */
static void choose_host(struct cluster *c)
{
	unsigned n = (unsigned)getpid();

	g_snprintf(c->host, sizeof(c->host), "127.%u.%u.%u",
		   100 + (n >> 16) % 100, n >> 8 & 255, 1 + (n & 255) % 254);
}

static char *wait_for_control(struct cluster *c, const char *name)
{
	char *file = g_strdup_printf("%s.control", name);
	char *path = cluster_path(c, file);
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;
	char *address = NULL;

	while (!g_file_get_contents(path, &address, NULL, NULL)) {
		if (cluster_now_ms() > deadline)
			cluster_fail("%s: no control address within " WAIT_TEXT,
				     name);
		usleep(POLL_US);
	}
	g_free(path);
	g_free(file);
	return address;
}

static void start_proxy(struct cluster *c)
{
	char *control = cluster_path(c, "proxy.control");
	const char *const arguments[] = { c->host, control, NULL };
	pid_t pid = spawn(c, "test/fakes/fake_proxy", "proxy.log", arguments);

	g_ptr_array_add(c->children, GINT_TO_POINTER(pid));
	c->proxy = wait_for_control(c, "proxy");
	g_free(control);
}

static char *programs_folder(void)
{
	char *self = g_file_read_link("/proc/self/exe", NULL);
	char *folder = g_path_get_dirname(self);
	char *parent = g_path_get_dirname(folder);

	g_free(self);
	g_free(folder);
	return parent;
}

struct cluster *cluster_create(bool proxied)
{
	struct cluster *c = g_new0(struct cluster, 1);
	char *lines;

	active_cluster = c;
	c->folder = g_dir_make_tmp("radishdeal-XXXXXX", NULL);
	c->bin = programs_folder();
	c->proxied = proxied;
	c->children = g_ptr_array_new();
	c->reserved = g_array_new(FALSE, FALSE, sizeof(int));
	c->controls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    g_free);
	choose_host(c);
	c->operator_key = make_key();
	c->account_key = make_key();
	c->second_account_key = make_key();
	c->limits = g_strdup("");
	c->cluster_lines = g_strdup("");
	lines = make_key();
	write_file(c, "cluster.key", lines);
	g_free(lines);
	lines = make_key();
	write_file(c, "endpoint.key", lines);
	g_free(lines);
	lines = g_strdup_printf("tester membership %s\nreader read %s-reader\n",
				c->operator_key, c->operator_key);
	write_file(c, "operators.keys", lines);
	g_free(lines);
	if (proxied)
		start_proxy(c);
	return c;
}

void cluster_destroy(struct cluster *c)
{
	active_cluster = NULL;
	for (int i = 0; i < c->node_count; i++) {
		kill_process(c->nodes[i].pid);
		g_free(c->nodes[i].settings);
	}
	for (guint i = 0; i < c->children->len; i++)
		kill_process(GPOINTER_TO_INT(c->children->pdata[i]));
	for (guint i = 0; i < c->reserved->len; i++)
		close(g_array_index(c->reserved, int, i));
	g_array_unref(c->reserved);
	if (!getenv("KEEP"))
		remove_folder(c->folder);
	else
		fprintf(stderr, "kept %s\n", c->folder);
	g_ptr_array_unref(c->children);
	g_hash_table_unref(c->controls);
	g_free(c->folder);
	g_free(c->bin);
	g_free(c->daemon);
	g_free(c->proxy);
	g_free(c->operator_key);
	g_free(c->account_key);
	g_free(c->second_account_key);
	g_free(c->limits);
	g_free(c->cluster_lines);
	g_free(c);
}

/* ---- daemons ---- */

/*
 * Writes an address whose port the kernel assigns to no other socket until the
 * cluster is destroyed. The socket kept for this does not listen, so that the
 * daemon can.
 */
static void reserve_port(struct cluster *c, char *out)
{
	struct address address;
	char text[64];
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	g_snprintf(text, sizeof(text), "%s:0", c->host);
	(void)address_parse(text, &address);
	if (fd < 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) ||
	    bind(fd, (const struct sockaddr *)&address.socket,
		 sizeof(address.socket)))
		cluster_fail("%s: %s", text, g_strerror(errno));
	g_snprintf(out, 64, "%s:%d", c->host, address_local_port(fd));
	g_array_append_val(c->reserved, fd);
}

static const char *data_centre_of(int node)
{
	static const char *const centres[] = { "a", "b", "c" };

	return centres[(node - 1) % 3];
}

/* Creates a link in the proxy; returns its address, which the caller frees. */
static char *create_link(struct cluster *c, int from, int to)
{
	char *path = g_strdup_printf("/link?target=%s", c->nodes[to - 1].peers);
	struct fetch_request request = {
		.address = c->proxy,
		.method = "POST",
		.path = path,
		.timeout_ms = READ_TIMEOUT_MS,
	};
	struct fetch_response answer;
	json_t *body;
	char *address;

	if (!fetch(&request, &answer))
		cluster_fail("fault proxy: no answer to POST /link");
	body = json_loads(answer.body, 0, NULL);
	address = g_strdup(json_string_value(json_object_get(body, "address")));
	c->links[from][to] =
		(int)json_integer_value(json_object_get(body, "link"));
	json_decref(body);
	fetch_clear(&answer);
	g_free(path);
	return address;
}

static const char *roles_of(const struct cluster *c, int node)
{
	if (node == c->control_only)
		return "\"control\"";
	return node == c->entry_only ? "\"entry\"" : "\"entry\", \"control\"";
}

static void write_settings(struct cluster *c, int node)
{
	struct cluster_node *n = &c->nodes[node - 1];
	GString *text = g_string_new(NULL);
	char *name = g_strdup_printf("node%d.toml", node);

	g_string_append_printf(text,
			       "[node]\nid = %d\ndata_centre = \"%s\"\n"
			       "roles = [%s]\n"
			       "data_folder = \"%s/data%d\"\n"
			       "[listen]\npeers = \"%s\"\ncallers = \"%s\"\n"
			       "endpoints = \"%s\"\noperators = \"%s\"\n"
			       "[limits]\n%s\n"
			       "[cluster]\nname = \"test\"\nkey_file = "
			       "\"%s/cluster.key\"\n"
			       "operator_keys_file = \"%s/operators.keys\"\n"
			       "endpoint_key_file = \"%s/endpoint.key\"\n%s\n",
			       node, data_centre_of(node), roles_of(c, node),
			       c->folder, node, n->peers, n->callers,
			       n->endpoints, n->operators, c->limits, c->folder,
			       c->folder, c->folder, c->cluster_lines);
	for (int i = 1; i <= c->node_count; i++) {
		char *address = c->proxied && i != node
					? create_link(c, node, i)
					: g_strdup(c->nodes[i - 1].peers);

		g_string_append_printf(text,
				       "[[cluster.peer]]\nid = %d\ndata_centre "
				       "= \"%s\"\n"
				       "peers = \"%s\"\nvoter = %s\n",
				       i, data_centre_of(i), address,
				       i <= VOTERS_MAX ? "true" : "false");
		g_free(address);
	}
	write_file(c, name, text->str);
	n->settings = cluster_path(c, name);
	g_string_free(text, TRUE);
	g_free(name);
}

void cluster_start_node(struct cluster *c, int node)
{
	struct cluster_node *n = &c->nodes[node - 1];
	const char *arguments[4] = { "--settings", n->settings, NULL, NULL };
	char *log = g_strdup_printf("node%d.log", node);

	if (!n->starts && node <= VOTERS_MAX)
		arguments[2] = "--bootstrap";
	n->starts++;
	/* Leaks are checked in the daemons only. */
	setenv("ASAN_OPTIONS", "detect_leaks=1", 1);
	n->pid = spawn(c, c->daemon ? c->daemon : "radishdeald", log,
		       arguments);
	setenv("ASAN_OPTIONS", "detect_leaks=0", 1);
	g_free(log);
}

void cluster_start(struct cluster *c, int nodes)
{
	c->node_count = nodes;
	for (int i = 1; i <= nodes; i++) {
		struct cluster_node *n = &c->nodes[i - 1];

		n->number = i;
		reserve_port(c, n->peers);
		reserve_port(c, n->callers);
		reserve_port(c, n->endpoints);
		reserve_port(c, n->operators);
	}
	for (int i = 1; i <= nodes; i++)
		write_settings(c, i);
	for (int i = 1; i <= nodes; i++)
		cluster_start_node(c, i);
	cluster_wait_leader(c);
}

/* Until then threads of the process may still run. */
static void wait_until_stopped(int node, pid_t pid)
{
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;
	siginfo_t info = { 0 };

	while (!waitid(P_PID, (id_t)pid, &info, WSTOPPED | WNOHANG) &&
	       !info.si_pid) {
		if (cluster_now_ms() > deadline)
			cluster_fail("node %d not stopped within " WAIT_TEXT,
				     node);
		usleep(POLL_US);
	}
}

void cluster_signal_node(struct cluster *c, int node, int signal)
{
	struct cluster_node *n = &c->nodes[node - 1];

	if (!n->pid)
		return;
	kill(n->pid, signal);
	if (signal == SIGSTOP)
		wait_until_stopped(node, n->pid);
	if (signal != SIGKILL)
		return;
	waitpid(n->pid, NULL, 0);
	n->pid = 0;
}

void cluster_check_alive(struct cluster *c)
{
	for (int i = 0; i < c->node_count; i++) {
		int status;

		if (c->nodes[i].pid &&
		    waitpid(c->nodes[i].pid, &status, WNOHANG) > 0)
			cluster_fail("node %d exited unexpectedly, wait status "
				     "%x",
				     i + 1, (unsigned)status);
	}
}

int cluster_wait_node_exit(struct cluster *c, int node)
{
	struct cluster_node *n = &c->nodes[node - 1];
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;
	int status = 0;

	while (waitpid(n->pid, &status, WNOHANG) == 0) {
		if (cluster_now_ms() > deadline)
			cluster_fail("node %d did not exit within " WAIT_TEXT,
				     node);
		usleep(POLL_US);
	}
	n->pid = 0;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

void cluster_wipe_node(struct cluster *c, int node)
{
	char *name = g_strdup_printf("data%d", node);
	char *path = cluster_path(c, name);

	remove_folder(path);
	g_free(path);
	g_free(name);
}

/* ---- fakes ---- */

char *cluster_endpoint_addresses(const struct cluster *c)
{
	GString *list = g_string_new(NULL);

	for (int i = 0; i < c->node_count; i++)
		g_string_append_printf(list, "%s%s", i ? "," : "",
				       c->nodes[i].endpoints);
	return g_string_free(list, FALSE);
}

pid_t cluster_start_plain_fake(struct cluster *c, const char *program,
			       const char *name, const char *const *arguments)
{
	char *control_file = g_strdup_printf("%s.control", name);
	char *control = cluster_path(c, control_file);
	char *log = g_strdup_printf("%s.log", name);
	char *path = g_strdup_printf("test/fakes/%s", program);
	GPtrArray *all = g_ptr_array_new();
	pid_t pid;

	g_ptr_array_add(all, (char *)"--control");
	g_ptr_array_add(all, control);
	for (; *arguments; arguments++)
		g_ptr_array_add(all, (char *)*arguments);
	g_ptr_array_add(all, NULL);
	pid = spawn(c, path, log, (const char *const *)all->pdata);
	g_ptr_array_add(c->children, GINT_TO_POINTER(pid));
	g_hash_table_insert(c->controls, g_strdup(name),
			    wait_for_control(c, name));
	g_ptr_array_unref(all);
	g_free(control_file);
	g_free(control);
	g_free(log);
	g_free(path);
	return pid;
}

pid_t cluster_start_fake(struct cluster *c, const char *program,
			 const char *name, const char *const *arguments)
{
	char *key = cluster_path(c, "endpoint.key");
	char *entries = cluster_endpoint_addresses(c);
	GPtrArray *all = g_ptr_array_new();
	pid_t pid;

	g_ptr_array_add(all, (char *)"--host");
	g_ptr_array_add(all, c->host);
	g_ptr_array_add(all, (char *)"--entries");
	g_ptr_array_add(all, entries);
	g_ptr_array_add(all, (char *)"--key");
	g_ptr_array_add(all, key);
	for (; *arguments; arguments++)
		g_ptr_array_add(all, (char *)*arguments);
	g_ptr_array_add(all, NULL);
	pid = cluster_start_plain_fake(c, program, name,
				       (const char *const *)all->pdata);
	g_ptr_array_unref(all);
	g_free(key);
	g_free(entries);
	return pid;
}

static bool post_to_control(const char *address, const char *path)
{
	struct fetch_request request = {
		.address = address,
		.method = "POST",
		.path = path,
		.timeout_ms = READ_TIMEOUT_MS,
	};
	struct fetch_response answer;
	bool done = fetch(&request, &answer) && answer.status == 200;

	fetch_clear(&answer);
	return done;
}

bool cluster_change_fake(struct cluster *c, const char *name, const char *path)
{
	const char *address = g_hash_table_lookup(c->controls, name);

	return address && post_to_control(address, path);
}

void cluster_set_link_fault(struct cluster *c, int from, int to,
			    const char *what)
{
	char *path = g_strdup_printf("/set?link=%d&what=%s", c->links[from][to],
				     what);

	if (!post_to_control(c->proxy, path))
		cluster_fail("fault proxy refused %s", path);
	g_free(path);
}

/* ---- operators ---- */

bool cluster_operator_request(struct cluster *c, int node, const char *method,
			      const char *path, const char *body,
			      struct fetch_response *answer)
{
	struct fetch_request request = {
		.address = c->nodes[node - 1].operators,
		.method = method,
		.path = path,
		.key = c->operator_key,
		.body = body,
		.body_size = -1,
		.timeout_ms = strcmp(method, "GET") ? CHANGE_TIMEOUT_MS
						    : READ_TIMEOUT_MS,
	};

	return fetch(&request, answer);
}

json_t *cluster_get(struct cluster *c, int node, const char *path)
{
	struct fetch_response answer;
	json_t *body = NULL;

	if (!c->nodes[node - 1].pid)
		return NULL;
	if (cluster_operator_request(c, node, "GET", path, NULL, &answer) &&
	    answer.status == 200)
		body = json_loads(answer.body, 0, NULL);
	fetch_clear(&answer);
	return body;
}

int cluster_find_leader(struct cluster *c)
{
	for (int i = 1; i <= c->node_count; i++) {
		json_t *status = cluster_get(c, i, "/v1/status");
		bool leads = json_is_true(json_object_get(status, "leads"));

		json_decref(status);
		if (leads)
			return i;
	}
	return 0;
}

int cluster_wait_leader(struct cluster *c)
{
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;

	for (;;) {
		int leader = cluster_find_leader(c);

		if (leader)
			return leader;
		if (cluster_now_ms() > deadline)
			cluster_fail("no leader elected within " WAIT_TEXT);
		usleep(POLL_US);
	}
}

bool cluster_change_undecided(const struct fetch_response *answer)
{
	json_t *body = json_loads(answer->body ? answer->body : "", 0, NULL);
	int code = (int)json_integer_value(json_object_get(body, "code"));

	json_decref(body);
	return !answer->status || code == RD_NOT_LEADER ||
	       code == RD_NO_QUORUM || code == RD_CHANGE_UNKNOWN;
}

void cluster_apply_service(struct cluster *c, const char *text)
{
	char *path = g_strdup_printf("/v1/"
				     "services?change_id=service-%d&base=0&"
				     "wait_ms=9000",
				     ++c->services);
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;
	struct fetch_response answer;

	for (;;) {
		(void)cluster_operator_request(c, cluster_wait_leader(c),
					       "POST", path, text, &answer);
		if (!cluster_change_undecided(&answer) ||
		    cluster_now_ms() > deadline)
			break;
		fetch_clear(&answer);
	}
	if (answer.status != 200)
		cluster_fail("applying the service failed: %s",
			     answer.body ? answer.body : "");
	fetch_clear(&answer);
	g_free(path);
}

static bool field_matches(json_t *row, const char *key, const char *expected)
{
	return !expected ||
	       !strcmp(json_string_value(json_object_get(row, key)), expected);
}

int cluster_count_healthy(struct cluster *c, const char *service,
			  const char *version)
{
	int leader = cluster_find_leader(c);
	json_t *body = leader ? cluster_get(c, leader, "/v1/replicas") : NULL;
	json_t *row;
	size_t i;
	int healthy = 0;

	json_array_foreach(json_object_get(body, "replicas"), i, row)
		healthy += field_matches(row, "state", "whole") &&
			   field_matches(row, "service", service) &&
			   field_matches(row, "version", version);
	json_decref(body);
	return healthy;
}

void cluster_wait_healthy(struct cluster *c, int count)
{
	gint64 deadline = cluster_now_ms() + CLUSTER_WAIT_MS;

	while (cluster_count_healthy(c, NULL, NULL) < count) {
		if (cluster_now_ms() > deadline)
			cluster_fail("fewer than %d healthy replicas "
				     "after " WAIT_TEXT,
				     count);
		usleep(POLL_US);
	}
}
