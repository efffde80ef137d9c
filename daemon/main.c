/*
 * Main program of the daemon: loads the settings, starts the control and entry
 * tasks, and stops them in order on a signal.
 */
#include <argp.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/thread.h>

#include "common/log.h"
#include "control/control.h"
#include "entry/entry.h"
#include "platform/platform.h"
#include "settings/daemon.h"
#include "settings/service.h"
#include "wire/rpc_frame.h"

/* Interval of checks whether the settings file has changed. */
#define SETTINGS_POLL_S 2

static const struct log daemon_log = { "daemon" };

const char *argp_program_version = "radishdeald 0.1";

enum {
	ARG_CHECK = 256,
	ARG_BOOTSTRAP,
	ARG_PRINT,
};

static const struct argp_option options[] = {
	{ "settings", 's', "FILE", 0, "TOML file with the settings", 0 },
	{ "check-settings", ARG_CHECK, NULL, 0,
	  "check the settings, list all errors, and exit", 0 },
	{ "bootstrap", ARG_BOOTSTRAP, NULL, 0,
	  "create a new system; only for the first start of its voters", 0 },
	{ "print-keys", ARG_PRINT, NULL, 0,
	  "print the reference of all settings' keys, and exit", 0 },
	{ 0 }
};

struct arguments {
	const char *settings;
	bool check, bootstrap, print;
};

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct arguments *a = state->input;

	switch (key) {
	case 's':
		a->settings = arg;
		return 0;
	case ARG_CHECK:
		a->check = true;
		return 0;
	case ARG_BOOTSTRAP:
		a->bootstrap = true;
		return 0;
	case ARG_PRINT:
		a->print = true;
		return 0;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", arg);
		return 0;
	case ARGP_KEY_END:
		if (!a->settings && !a->print)
			argp_error(state, "--settings is required");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_argument,
	.doc = "Serves requests to models whose replicas span several VMs.",
};

struct daemon {
	struct daemon_settings settings;
	struct rpc_identity identity;
	GBytes *operator_keys;
	GBytes *endpoint_key;
	char *endpoint_key_text;
	struct counters *counters;
	struct task *control_task, *entry_task;
	struct control *control;
	struct entry *entry;
	struct event_base *base;
	struct event *quit_event;
	struct event *failed_event;
	struct event *hangup_event;
	struct event *settings_poll;
	const char *settings_path;
	struct stat settings_stat;
	int64_t started_ms;
	int64_t stop_began_ms;
	bool stopping;
	int exit_status;
};

static const struct {
	const struct control_driver *control;
	const struct entry_driver *entry;
} drivers[] = {
	[INTERFACE_NATIVE] = { NULL, NULL },
	[INTERFACE_PLATFORM] = { &platform_control, &platform_entry },
};

/* ---- callbacks from the control task ---- */

static void on_config(void *ctx, struct config_update *update)
{
	struct daemon *d = ctx;

	entry_post_config(d->entry, update);
}

static void on_digest(void *ctx, GBytes *digest)
{
	struct daemon *d = ctx;

	entry_post_digest(d->entry, digest);
}

static void on_request_full_digest(void *ctx)
{
	struct daemon *d = ctx;

	entry_post_request_full_digest(d->entry);
}

static void on_drain(void *ctx, bool draining)
{
	struct daemon *d = ctx;

	entry_post_drain(d->entry, draining);
}

static void on_fatal(void *ctx, enum rd_result code)
{
	struct daemon *d = ctx;

	d->exit_status = rd_result_info(code)->exit_status;
	event_active(d->failed_event, EV_READ, 0);
}

/* ---- stopping ---- */

static void on_control_stopped(void *ctx)
{
	struct daemon *d = ctx;

	event_active(d->quit_event, EV_READ, 0);
}

static void on_entry_stopped(void *ctx)
{
	struct daemon *d = ctx;

	control_post_handover(d->control,
			      d->stop_began_ms +
				      daemon_settings_stop_ms(&d->settings),
			      on_control_stopped, d);
}

static void begin_stop(struct daemon *d, const char *cause)
{
	int64_t now_ms = clock_now_ms(&clock_system);

	log_note(&daemon_log,
		 "stopping cause=%s uptime_ms=%" PRId64 " drain_ms=%" PRId64,
		 cause, now_ms - d->started_ms,
		 daemon_settings_drain_ms(&d->settings));
	d->stopping = true;
	d->stop_began_ms = now_ms;
	if (d->entry)
		entry_post_shutdown(d->entry, on_entry_stopped, d);
	else
		on_entry_stopped(d);
}

/* A stop that has begun goes on as it is. `fd` is the number of the signal. */
static void on_signal(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;
	const char *name = sigabbrev_np(fd);

	(void)what;
	counters_add(d->counters, COUNTER_STOP_SIGNALS, 1);
	if (!d->stopping)
		begin_stop(d, name);
	else
		log_note(&daemon_log,
			 "already stopping; signal ignored signal=%s "
			 "elapsed_ms=%" PRId64,
			 name, clock_now_ms(&clock_system) - d->stop_began_ms);
}

/* The entry can still complete its requests; a stop in progress goes on. */
static void on_failed(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (!d->stopping)
		begin_stop(d, "storage-failed");
}

static void on_quit(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	event_base_loopbreak(d->base);
}

/* ---- reloading of settings ---- */

static void post_seeds(struct daemon *d, const struct daemon_settings *settings)
{
	const GPtrArray *peers = settings->cluster.peers;
	uint32_t *nodes = g_new0(uint32_t, peers->len + 1);
	uint32_t count = 0;

	for (guint i = 0; i < peers->len; i++) {
		const struct peer_settings *p = peers->pdata[i];

		if (p->control && p->id != settings->node.id)
			nodes[count++] = (uint32_t)p->id;
	}
	control_post_seeds(d->control, nodes, count);
	g_free(nodes);
}

/* Applies changed seeds. Other settings take effect at the next start. */
static void reload(struct daemon *d)
{
	struct daemon_settings loaded;
	char *errors = NULL;

	if (daemon_settings_load(d->settings_path, &loaded, &errors)) {
		log_warn(&daemon_log,
			 "changed settings are invalid and ignored: %s",
			 errors);
		g_free(errors);
	} else {
		log_note(&daemon_log, "settings reloaded: seeds=%u",
			 loaded.cluster.seeds->len);
		if (daemon_settings_uses_seeds(&loaded))
			post_seeds(d, &loaded);
	}
	daemon_settings_clear(&loaded);
}

static bool settings_changed(struct daemon *d)
{
	struct stat now;
	bool changed;

	if (stat(d->settings_path, &now))
		return false;
	changed = now.st_mtim.tv_sec != d->settings_stat.st_mtim.tv_sec ||
		  now.st_mtim.tv_nsec != d->settings_stat.st_mtim.tv_nsec ||
		  now.st_size != d->settings_stat.st_size ||
		  now.st_ino != d->settings_stat.st_ino;
	d->settings_stat = now;
	return changed;
}

static void on_hangup(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	(void)settings_changed(d);
	reload(d);
}

static void on_settings_poll(evutil_socket_t fd, short what, void *ctx)
{
	struct daemon *d = ctx;

	(void)fd;
	(void)what;
	if (settings_changed(d))
		reload(d);
}

/* ---- starting ---- */

static enum rd_result load_keys(struct daemon *d, char **why)
{
	const struct cluster_settings *c = &d->settings.cluster;

	if (!*c->key_file) {
		log_warn(&daemon_log, "no key_file: any host that reaches the "
				      "peers port is accepted as a peer");
		d->identity.keys[0] = g_bytes_new(c->name, strlen(c->name));
		return RD_OK;
	}
	d->identity.keys[0] = key_file_load(c->key_file, why);
	d->operator_keys = key_file_load(c->operator_keys_file, why);
	d->endpoint_key = key_file_load(c->endpoint_key_file, why);
	if (!d->identity.keys[0] || !d->operator_keys || !d->endpoint_key)
		return RD_SETTINGS;
	if (!*c->old_key_file)
		return RD_OK;
	d->identity.keys[1] = key_file_load(c->old_key_file, why);
	return d->identity.keys[1] ? RD_OK : RD_SETTINGS;
}

static char *bytes_to_string(GBytes *bytes)
{
	gsize size;
	const char *data = g_bytes_get_data(bytes, &size);

	return g_strndup(data, size);
}

static enum rd_result create_control(struct daemon *d, bool bootstrap,
				     char **why)
{
	char *operator_keys = d->operator_keys
				      ? bytes_to_string(d->operator_keys)
				      : NULL;
	enum rd_result code = RD_OK;
	struct control_opts opts = {
		.driver = drivers[d->settings.node.interface].control,
		.settings = &d->settings,
		.clock = &clock_system,
		.counters = d->counters,
		.task = d->control_task,
		.identity = &d->identity,
		.operator_keys = operator_keys,
		.bootstrap = bootstrap,
		.fatal = on_fatal,
		.fatal_ctx = d,
	};

	if (d->settings.node.roles & ROLE_ENTRY)
		opts.listener =
			(struct control_listener){ on_config, on_digest,
						   on_request_full_digest,
						   on_drain, d };
	d->control = control_create(&opts, &code, why);
	g_free(operator_keys);
	return code;
}

static enum rd_result create_entry(struct daemon *d, char **why)
{
	struct entry_opts opts = {
		.driver = drivers[d->settings.node.interface].entry,
		.settings = &d->settings,
		.clock = &clock_system,
		.counters = d->counters,
		.task = d->entry_task,
		.control = d->control,
	};

	if (d->endpoint_key)
		d->endpoint_key_text = bytes_to_string(d->endpoint_key);
	opts.endpoint_key = d->endpoint_key_text;
	rpc_random_bytes(&opts.seed, sizeof(opts.seed));
	d->entry = entry_create(&opts, why);
	return d->entry ? RD_OK : RD_IO;
}

static enum rd_result start_tasks(struct daemon *d, bool bootstrap, char **why)
{
	enum rd_result code = load_keys(d, why);

	if (code)
		return code;
	d->identity.cluster = d->settings.cluster.name;
	d->identity.node = (uint32_t)d->settings.node.id;
	d->counters = counters_create();
	d->control_task = task_create("control");
	code = create_control(d, bootstrap, why);
	if (!code && d->settings.node.roles & ROLE_ENTRY) {
		d->entry_task = task_create("entry");
		code = create_entry(d, why);
	}
	if (code)
		return code;
	if (task_start(d->control_task, control_start, d->control) ||
	    (d->entry && task_start(d->entry_task, entry_start, d->entry))) {
		*why = g_strdup("cannot start the thread of a task");
		return RD_INTERNAL;
	}
	return RD_OK;
}

/*
 * The entry goes on refusing requests while the control task ends, which may
 * wait for the disk.
 */
static void stop_tasks(struct daemon *d)
{
	if (d->control_task)
		task_stop(d->control_task);
	task_join(d->control_task);
	if (d->entry_task)
		task_stop(d->entry_task);
	task_join(d->entry_task);
	entry_destroy(d->entry);
	control_destroy(d->control);
	task_destroy(d->control_task);
	task_destroy(d->entry_task);
	counters_destroy(d->counters);
}

static void clear_daemon(struct daemon *d)
{
	for (int i = 0; i < RPC_KEYS_MAX; i++)
		if (d->identity.keys[i])
			g_bytes_unref(d->identity.keys[i]);
	if (d->operator_keys)
		g_bytes_unref(d->operator_keys);
	if (d->endpoint_key)
		g_bytes_unref(d->endpoint_key);
	g_free(d->endpoint_key_text);
	daemon_settings_clear(&d->settings);
}

static const char *role_names(uint32_t roles)
{
	if (roles == (ROLE_ENTRY | ROLE_CONTROL))
		return "entry,control";
	return roles & ROLE_ENTRY ? "entry" : "control";
}

static void mask_signals(int how)
{
	sigset_t signals;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	sigaddset(&signals, SIGHUP);
	pthread_sigmask(how, &signals, NULL);
}

static int run(struct daemon *d, bool bootstrap)
{
	char *why = NULL;
	struct event *term, *interrupt;
	struct timeval poll_interval = { SETTINGS_POLL_S, 0 };
	enum rd_result code;

	d->started_ms = clock_now_ms(&clock_system);
	evthread_use_pthreads();
	d->base = event_base_new();
	term = evsignal_new(d->base, SIGTERM, on_signal, d);
	interrupt = evsignal_new(d->base, SIGINT, on_signal, d);
	d->quit_event = event_new(d->base, -1, EV_PERSIST, on_quit, d);
	d->failed_event = event_new(d->base, -1, EV_PERSIST, on_failed, d);
	d->hangup_event = evsignal_new(d->base, SIGHUP, on_hangup, d);
	d->settings_poll = event_new(d->base, -1, EV_PERSIST, on_settings_poll,
				     d);
	event_add(d->hangup_event, NULL);
	event_add(term, NULL);
	event_add(interrupt, NULL);
	mask_signals(SIG_UNBLOCK);
	code = start_tasks(d, bootstrap, &why);
	if (code) {
		log_error(&daemon_log, "start failed code=%s detail=\"%s\"",
			  rd_result_info(code)->name, why ? why : "");
		fprintf(stderr, "radishdeald: %s (%d): %s\n",
			rd_result_info(code)->name, code, why ? why : "");
		d->exit_status = rd_result_info(code)->exit_status;
	} else {
		event_add(d->settings_poll, &poll_interval);
		log_note(&daemon_log, "started pid=%d roles=%s", (int)getpid(),
			 role_names(d->settings.node.roles));
		event_base_dispatch(d->base);
	}
	log_note(&daemon_log,
		 "process ends uptime_ms=%" PRId64 " exit_status=%d "
		 "log_lines_dropped=%" PRIu64,
		 clock_now_ms(&clock_system) - d->started_ms, d->exit_status,
		 log_dropped_count());
	g_free(why);
	stop_tasks(d);
	/* Without their handlers they would change the exit status. */
	mask_signals(SIG_BLOCK);
	event_free(term);
	event_free(interrupt);
	event_free(d->hangup_event);
	event_free(d->settings_poll);
	event_free(d->quit_event);
	event_free(d->failed_event);
	event_base_free(d->base);
	return d->exit_status;
}

static void print_reference(void)
{
	GString *text = g_string_new("# radishdeald\n\n");

	daemon_settings_append_reference(text);
	g_string_append(text, "\n# services\n\n");
	service_settings_append_reference(text);
	fputs(text->str, stdout);
	g_string_free(text, TRUE);
}

static void init_log(const struct daemon_settings *settings)
{
	static const GLogLevelFlags levels[] = {
		G_LOG_LEVEL_CRITICAL, G_LOG_LEVEL_WARNING, G_LOG_LEVEL_MESSAGE,
		G_LOG_LEVEL_INFO,     G_LOG_LEVEL_DEBUG,
	};

	log_setup(levels[settings->log.level],
		  (enum log_format)settings->log.format);
	log_start_writer(STDOUT_FILENO);
}

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };
	struct daemon d = { .exit_status = 0 };
	char *errors = NULL;
	enum rd_result code;

	/* Their default action would end the process until run() is ready. */
	mask_signals(SIG_BLOCK);
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.print) {
		print_reference();
		return 0;
	}
	d.settings_path = arguments.settings;
	/* Before the load, so that a change from here on is seen. */
	(void)settings_changed(&d);
	code = daemon_settings_load(arguments.settings, &d.settings, &errors);
	if (code) {
		fprintf(stderr, "%s\n", errors);
		g_free(errors);
		clear_daemon(&d);
		return rd_result_info(code)->exit_status;
	}
	if (arguments.check) {
		printf("%s: ok\n", arguments.settings);
		clear_daemon(&d);
		return 0;
	}
	signal(SIGPIPE, SIG_IGN);
	init_log(&d.settings);
	code = (enum rd_result)run(&d, arguments.bootstrap ||
					       d.settings.node.bootstrap);
	clear_daemon(&d);
	log_stop_writer();
	return (int)code;
}
