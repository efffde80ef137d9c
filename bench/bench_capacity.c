/*
 * Measures the resource use of a node as a function of its load: a line is
 * fitted through at least four load sizes. Prints `slope NAME VALUE INTERCEPT
 * RESIDUAL UNIT` lines, from which docs/make-capacity.py extrapolates
 * docs/CAPACITY.md.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <radishdeal/evidence.h>
#include <radishdeal/router.h>
#include <radishdeal/state.h>

#include "bench/meter.h"
#include "test/cluster.h"
#include "test/jobs.h"
#include "wire/codec.h"

#define POINTS_MAX 6
#define WARM_US 3000000
#define WINDOW_US 4000000
#define NODES 4

static void print_slope(const char *name, const double *x, const double *y,
			int n, const char *unit)
{
	struct fitted_line line;

	meter_fit_line(x, y, n, &line);
	printf("# %s:", name);
	for (int i = 0; i < n; i++)
		printf(" (%g, %.4g)", x[i], y[i]);
	printf("\nslope %s %.6g %.6g %.4g %s\n", name, line.slope,
	       line.intercept, line.residual, unit);
	fflush(stdout);
}

/** Resource use in a time window, averaged over the nodes of a cluster. */
struct usage_window {
	double cpu_us_s; /* processor time in us, per second and node */
	double rss_kb;
	double bytes_s;
	double seconds; /* length of the window */
};

static double rpc_bytes_sent(struct cluster *c, int node)
{
	struct fetch_response answer;
	double bytes = 0;

	if (cluster_operator_request(c, node, "GET", "/v1/metrics", NULL,
				     &answer))
		bytes = meter_parse_metric(answer.body, "rpc_bytes_sent_total");
	fetch_clear(&answer);
	return bytes;
}

/* Measures resource use while `load` runs, or in an idle window if NULL. */
static void measure_usage(struct cluster *c, void (*load)(void *ctx), void *ctx,
			  struct usage_window *out)
{
	struct process_usage before[CLUSTER_NODES_MAX], after;
	double bytes[CLUSTER_NODES_MAX] = { 0 };
	gint64 started;

	usleep(WARM_US);
	memset(out, 0, sizeof(*out));
	for (int i = 0; i < c->node_count; i++) {
		bytes[i] = rpc_bytes_sent(c, i + 1);
		meter_usage(c->nodes[i].pid, &before[i]);
	}
	started = g_get_monotonic_time();
	if (load)
		load(ctx);
	else
		usleep(WINDOW_US);
	out->seconds = (double)(g_get_monotonic_time() - started) / 1e6;
	for (int i = 0; i < c->node_count; i++) {
		meter_usage(c->nodes[i].pid, &after);
		out->cpu_us_s += (after.cpu_us - before[i].cpu_us) /
				 out->seconds;
		out->rss_kb += after.rss_kb;
		out->bytes_s += (rpc_bytes_sent(c, i + 1) - bytes[i]) /
				out->seconds;
	}
	out->cpu_us_s /= c->node_count;
	out->rss_kb /= c->node_count;
	out->bytes_s /= c->node_count;
}

static void wait_endpoints(struct cluster *c, int count)
{
	gint64 deadline_ms = cluster_now_ms() + CLUSTER_WAIT_MS;
	size_t n;

	do {
		json_t *body = cluster_get(c, 1, "/v1/endpoints");

		n = json_array_size(json_object_get(body, "endpoints"));
		json_decref(body);
		if (cluster_now_ms() > deadline_ms)
			cluster_fail("only %zu of %d endpoints appeared", n,
				     count);
		usleep(50000);
	} while ((int)n < count);
}

static void start_engine(struct cluster *c, int vms)
{
	char domains[128];
	const char *const args[] = { "--domains", domains, NULL };

	g_snprintf(domains, sizeof(domains), "a/a1:%d,b/b1:%d,c/c1:%d,a/a2:%d",
		   vms / 4, vms / 4, vms / 4, vms / 4);
	cluster_start_fake(c, "fake_engine", "eng", args);
	wait_endpoints(c, vms / 4 * 4);
}

/** Measurements at growing load; `x` is the load. */
struct series {
	double x[POINTS_MAX], cpu[POINTS_MAX], rss[POINTS_MAX],
		bytes[POINTS_MAX];
	int n;
};

static void series_add(struct series *s, double x, const struct usage_window *w)
{
	s->x[s->n] = x;
	s->cpu[s->n] = w->cpu_us_s;
	s->rss[s->n] = w->rss_kb;
	s->bytes[s->n++] = w->bytes_s;
}

static void measure_by_entries(void)
{
	static const int sizes[] = { 3, 4, 6, 9, 12 };
	struct series s = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cluster *c = cluster_create(false);
		struct usage_window w;

		cluster_start(c, sizes[i]);
		measure_usage(c, NULL, NULL, &w);
		cluster_destroy(c);
		series_add(&s, sizes[i], &w);
	}
	print_slope("entry_cpu_by_entries", s.x, s.cpu, s.n, "us/s");
	print_slope("entry_rss_by_entries", s.x, s.rss, s.n, "KB");
	print_slope("entry_bytes_by_entries", s.x, s.bytes, s.n, "B/s");
}

static void measure_by_endpoints(void)
{
	static const int sizes[] = { 40, 100, 200, 400 };
	struct series s = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cluster *c = cluster_create(false);
		struct usage_window w;

		cluster_start(c, NODES);
		start_engine(c, sizes[i]);
		measure_usage(c, NULL, NULL, &w);
		cluster_destroy(c);
		series_add(&s, sizes[i], &w);
	}
	print_slope("entry_cpu_by_endpoints", s.x, s.cpu, s.n, "us/s");
	print_slope("entry_rss_by_endpoints", s.x, s.rss, s.n, "KB");
	print_slope("entry_bytes_by_endpoints", s.x, s.bytes, s.n, "B/s");
}

/* ---- open streams ---- */

static void add_service(struct cluster *c, int replicas, int slots)
{
	char *hash = cluster_key_hash(c->account_key);
	char *text = g_strdup_printf("name = \"assistant\"\nmodel = "
				     "\"m\"\nvms_per_replica = 1\n"
				     "slots_per_replica = %d\ndeadline_ms = "
				     "600000\n"
				     "[[presets]]\nname = "
				     "\"ordinary\"\nreplicas = %d\n"
				     "[[presets]]\nname = \"peak\"\nreplicas = "
				     "%d\n"
				     "[[accounts]]\nname = "
				     "\"studio\"\nkey_sha256 = \"%s\"\n",
				     slots, replicas, replicas, hash);

	cluster_apply_service(c, text);
	g_free(hash);
	g_free(text);
}

static void measure_by_streams(void)
{
	static const int sizes[] = { 0, 100, 200, 400 };
	double x[POINTS_MAX], rss[POINTS_MAX];
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct cluster *c = cluster_create(false);
		struct process_usage usage;
		GPtrArray *jobs = g_ptr_array_new();
		const char *const slow_args[] = { "--domains", "a/a1:4",
						  "--step-us", "100000", NULL };

		cluster_start(c, 3);
		cluster_start_fake(c, "fake_engine", "eng", slow_args);
		add_service(c, 4, 200);
		cluster_wait_healthy(c, 4);
		usleep(500000);
		for (int j = 0; j < sizes[i]; j++) {
			struct job opts = {
				.name = (char *)"s",
				.address = c->nodes[0].callers,
				.key = c->account_key,
				.path = (char *)"/v1/chat/completions",
				.body = (char *)"{\"model\":\"assistant\","
						"\"stream\":true,"
						"\"max_tokens\":60,"
						"\"messages\":[]}",
				.stream = true,
				.tokens = 60,
			};

			g_ptr_array_add(jobs, job_start(&opts));
		}
		usleep(3000000);
		meter_usage(c->nodes[0].pid, &usage);
		x[n] = sizes[i];
		rss[n++] = usage.rss_kb;
		for (guint j = 0; j < jobs->len; j++)
			job_free(jobs->pdata[j]);
		g_ptr_array_unref(jobs);
		cluster_destroy(c);
	}
	print_slope("entry_rss_by_streams", x, rss, n, "KB");
}

/* ---- changes ---- */

/** Submits changes of configuration at a fixed rate. */
struct change_load {
	struct cluster *cluster;
	int leader, rate_s, accepted;
};

static void make_changes(void *ctx)
{
	struct change_load *changes = ctx;
	gint64 started = g_get_monotonic_time();

	while (g_get_monotonic_time() - started < WINDOW_US) {
		char path[160];
		struct fetch_response answer;

		if (!changes->rate_s) {
			usleep(100000);
			continue;
		}
		g_snprintf(path, sizeof(path),
			   "/v1/services/assistant/preset?change_id=c%d"
			   "&base=%d&preset=%s",
			   changes->accepted, changes->accepted + 1,
			   changes->accepted % 2 ? "ordinary" : "peak");
		if (cluster_operator_request(changes->cluster, changes->leader,
					     "POST", path, "", &answer) &&
		    answer.status == 200)
			changes->accepted++;
		fetch_clear(&answer);
		usleep((useconds_t)(1000000 / changes->rate_s));
	}
}

static void measure_by_changes(void)
{
	static const int rates[] = { 0, 20, 50, 100 };
	struct series s = { 0 };

	for (size_t i = 0; i < G_N_ELEMENTS(rates); i++) {
		struct cluster *c = cluster_create(false);
		struct change_load change_load = { .cluster = c,
						   .rate_s = rates[i] };
		struct usage_window w;

		cluster_start(c, NODES);
		add_service(c, 1, 1);
		change_load.leader = cluster_wait_leader(c);
		measure_usage(c, make_changes, &change_load, &w);
		cluster_destroy(c);
		series_add(&s, change_load.accepted / w.seconds, &w);
	}
	print_slope("node_cpu_by_changes", s.x, s.cpu, s.n, "us/s per 1/s");
	print_slope("node_bytes_by_changes", s.x, s.bytes, s.n, "B/s per 1/s");
}

/* ---- routing, state and evidence modules, without processes ---- */

static double thread_cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void measure_by_replicas(void)
{
	static const uint32_t sizes[] = { 100, 500, 1500, 4900 };
	double x[POINTS_MAX], all_us[POINTS_MAX], subset_us[POINTS_MAX];
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		double cpu_us[2];

		for (int with_subset = 0; with_subset < 2; with_subset++) {
			struct router_opts opts = { .seed = 1,
						    .entry = 1,
						    .subset = with_subset ? 64
									  : 0,
						    .prefix_max = 64 };
			struct router *r = router_create(&opts);
			struct router_request request = { .prompt_tokens = 500,
							  .output_tokens = 200,
							  .prefix_count = 8,
							  .prefix_tokens = 64 };
			struct router_choice choice;
			double started;

			for (uint32_t j = 1; j <= sizes[i]; j++) {
				router_put(r, j, 1, 16, "127.0.0.1:1");
				router_set_health(r, j, INT64_MAX, "whole");
			}
			router_choose(r, 1, ROUTER_FILL_FREE_SLOT, &request,
				      &choice);
			started = thread_cpu_us();
			for (int j = 0; j < 2000; j++)
				router_choose(r, 1, ROUTER_FILL_FREE_SLOT,
					      &request, &choice);
			cpu_us[with_subset] = (thread_cpu_us() - started) /
					      2000;
			router_destroy(r);
		}
		x[n] = sizes[i];
		all_us[n] = cpu_us[0];
		subset_us[n++] = cpu_us[1];
	}
	print_slope("choice_us_by_replicas_all", x, all_us, n, "us");
	print_slope("choice_us_by_replicas_subset64", x, subset_us, n, "us");
	meter_report("choice_us_at_4900", subset_us[n - 1], "us", 20,
		     subset_us[n - 1] < 20);
}

static void apply_booking_command(struct state *state, uint64_t index,
				  int booking, command_kind kind)
{
	char key[32];
	struct command command = { .change_id = (char *)"",
				   .operator_name = (char *)"" };
	struct apply_result result = { 0 };

	g_snprintf(key, sizeof(key), "key-%d", booking);
	command.body.kind = kind;
	if (kind == CMD_CLAIM_BOOKING) {
		struct claim_booking *c = &command.body.command_body_u.claim;

		c->service = (char *)"queue";
		c->account = (char *)"label";
		c->key = key;
		c->claim_id = (uint64_t)booking;
		c->entry = 1;
	} else {
		struct finish_booking *f = &command.body.command_body_u.finish;

		f->service = (char *)"queue";
		f->account = (char *)"label";
		f->key = key;
		f->claim_id = (uint64_t)booking;
		f->entry = 1;
		f->outcome = BOOKING_ANSWERED;
		f->response.content_type = (char *)"application/json";
		f->response.body.body_val = (char *)"{\"slot\":1}";
		f->response.body.body_len = 10;
	}
	state_apply(state, index, &command, &result);
	state_result_clear(&result);
}

static void add_queue_service(struct state *state)
{
	struct preset_spec preset = { (char *)"ordinary", 1, (char *)"", TRUE };
	struct command command = { .change_id = (char *)"",
				   .operator_name = (char *)"" };
	struct apply_service *a = &command.body.command_body_u.apply;
	struct apply_result result = { 0 };

	command.body.kind = CMD_APPLY_SERVICE;
	a->spec.name = (char *)"queue";
	a->spec.pool = (char *)"";
	a->spec.model = a->spec.adapter = (char *)"";
	a->spec.is_plain = 1;
	a->spec.vms_per_replica = a->spec.slots_per_replica = 1;
	a->spec.booking_retention_s = 86400;
	a->spec.booking_max = 1000000;
	a->spec.presets.presets_len = 1;
	a->spec.presets.presets_val = &preset;
	a->preset = (char *)"ordinary";
	a->text = (char *)"";
	state_apply(state, 1, &command, &result);
	state_result_clear(&result);
}

static void measure_by_bookings(void)
{
	static const int sizes[] = { 2000, 5000, 10000, 20000 };
	double x[POINTS_MAX], image_bytes[POINTS_MAX], cpu_us[POINTS_MAX];
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct state *state = state_create();
		uint64_t index = 1;
		double started;
		GBytes *bytes;

		add_queue_service(state);
		started = thread_cpu_us();
		for (int j = 1; j <= sizes[i]; j++) {
			apply_booking_command(state, ++index, j,
					      CMD_CLAIM_BOOKING);
			apply_booking_command(state, ++index, j,
					      CMD_FINISH_BOOKING);
		}
		x[n] = sizes[i];
		cpu_us[n] = thread_cpu_us() - started;
		bytes = state_save(state, true);
		image_bytes[n++] = (double)g_bytes_get_size(bytes);
		g_bytes_unref(bytes);
		state_destroy(state);
	}
	print_slope("image_bytes_by_bookings", x, image_bytes, n, "B");
	print_slope("apply_us_by_bookings", x, cpu_us, n, "us");
}

static void measure_by_vms(void)
{
	static const int sizes[] = { 50, 100, 200, 400 };
	double x[POINTS_MAX], full_bytes[POINTS_MAX], delta_bytes[POINTS_MAX],
		merge_us[POINTS_MAX];
	int n = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
		struct monitor_opts opts = { 1, 1, 100000 };
		struct view_opts view_opts = { 100000 };
		struct monitor *monitor = monitor_create(&opts);
		struct view *view = view_create(&view_opts);
		struct digest digest;
		GBytes *bytes;
		double started;

		for (int j = 0; j < sizes[i]; j++) {
			char name[32];
			struct vm_report r = {
				.name = name,
				.address = (char *)"10.0.0.1:8000",
				.data_centre = (char *)"a",
				.domain = (char *)"a1",
				.service = (char *)"",
				.pool = (char *)"",
				.model = (char *)"tuner-70b",
				.adapter = (char *)"",
				.model_version = (char *)"12",
				.sequence = 1,
				.incarnation = 1,
			};

			g_snprintf(name, sizeof(name), "vm-a1-%05d", j);
			monitor_handle_announcement(monitor, 1, &r);
		}
		monitor_make_digest(monitor, 1, true, &digest);
		bytes = CODEC_ENCODE(digest, &digest);
		x[n] = sizes[i];
		full_bytes[n] = (double)g_bytes_get_size(bytes);
		view_merge(view, 1, &digest);
		monitor_digest_clear(&digest);
		g_bytes_unref(bytes);
		started = thread_cpu_us();
		for (int j = 0; j < 200; j++) {
			monitor_make_digest(monitor, 1, false, &digest);
			view_merge(view, 1, &digest);
			if (j + 1 < 200)
				monitor_digest_clear(&digest);
		}
		merge_us[n] = (thread_cpu_us() - started) / 200;
		bytes = CODEC_ENCODE(digest, &digest);
		delta_bytes[n++] = (double)g_bytes_get_size(bytes);
		g_bytes_unref(bytes);
		monitor_digest_clear(&digest);
		monitor_destroy(monitor);
		view_destroy(view);
	}
	print_slope("digest_full_bytes_by_vms", x, full_bytes, n, "B");
	print_slope("digest_quiet_bytes_by_vms", x, delta_bytes, n, "B");
	print_slope("digest_merge_us_by_vms", x, merge_us, n, "us");
}

int main(void)
{
	measure_by_replicas();
	measure_by_bookings();
	measure_by_vms();
	measure_by_entries();
	measure_by_endpoints();
	measure_by_changes();
	measure_by_streams();
	return 0;
}
