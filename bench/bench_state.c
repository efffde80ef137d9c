/*
 * Measures failover, activation of changes, booking throughput, restart and
 * idle resource use of the consensus group, with real processes on the disk of
 * this machine.
 * usage: bench_state
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/meter.h"
#include "test/cluster.h"
#include "test/jobs.h"

#define LEADER_KILLS 12
#define SWITCHES 60
#define BOOKING_CLIENTS 16
#define WINDOW_MS 4000
#define SYNCS 200

static int revision;

static int switch_preset(struct cluster *c, int node, int wait_ms,
			 const char *change_id, double *ms)
{
	char path[200];
	struct fetch_response answer;
	gint64 started = g_get_monotonic_time();
	int status;

	g_snprintf(path, sizeof(path),
		   "/v1/services/queue/preset?change_id=%s&base=%d&preset=%s"
		   "&wait_ms=%d",
		   change_id, revision, revision % 2 ? "peak" : "ordinary",
		   wait_ms);
	cluster_operator_request(c, node, "POST", path, "", &answer);
	*ms = (double)(g_get_monotonic_time() - started) / 1000;
	status = answer.status;
	if (status == 200)
		revision++;
	fetch_clear(&answer);
	return status;
}

static void add_queue_service(struct cluster *c)
{
	char *hash = cluster_key_hash(c->account_key);
	char *text = g_strdup_printf("name = \"queue\"\nkind = \"plain\"\n"
				     "once_only = [\"POST "
				     "/bookings\"]\nbooking_max = 1000000\n"
				     "slots_per_replica = 1000\n"
				     "[[presets]]\nname = "
				     "\"ordinary\"\nreplicas = 1\n"
				     "[[presets]]\nname = \"peak\"\nreplicas = "
				     "2\n"
				     "[[accounts]]\nname = "
				     "\"studio\"\nkey_sha256 = \"%s\"\n",
				     hash);

	cluster_apply_service(c, text);
	revision = 1;
	g_free(hash);
	g_free(text);
}

/* Time from killing the leader until some node accepts a change. */
static void measure_leader_failover(struct cluster *c)
{
	double ms[LEADER_KILLS];

	for (int i = 0; i < LEADER_KILLS; i++) {
		int leader = cluster_wait_leader(c);
		gint64 started = g_get_monotonic_time();
		char change_id[32];
		double ignored;
		int node = leader;
		gint64 deadline_ms = cluster_now_ms() + CLUSTER_WAIT_MS;

		g_snprintf(change_id, sizeof(change_id), "kill-%d", i);
		cluster_signal_node(c, leader, SIGKILL);
		do {
			node = node % c->node_count + 1;
			if (cluster_now_ms() > deadline_ms)
				cluster_fail("no node accepts changes");
		} while (!c->nodes[node - 1].pid ||
			 switch_preset(c, node, 0, change_id, &ignored) != 200);
		ms[i] = (double)(g_get_monotonic_time() - started) / 1000;
		cluster_start_node(c, leader);
		/* Until the node has caught up, the group tolerates no loss. */
		usleep(1500000);
	}
	printf("# leader kill to accepted change, ms: p50 %.0f max %.0f of "
	       "%d\n",
	       meter_percentile(ms, LEADER_KILLS, 50),
	       meter_percentile(ms, LEADER_KILLS, 100), LEADER_KILLS);
	meter_report("leader_kill_to_change_p99",
		     meter_percentile(ms, LEADER_KILLS, 99), "ms", 2000,
		     meter_percentile(ms, LEADER_KILLS, 99) < 2000);
}

static void measure_activation(struct cluster *c, const char *name,
			       double target_ms)
{
	double ms[SWITCHES];
	int leader = cluster_wait_leader(c);
	int n = 0;

	for (int i = 0; i < SWITCHES; i++) {
		char change_id[48];

		g_snprintf(change_id, sizeof(change_id), "%s-%d", name, i);
		if (switch_preset(c, leader, 9000, change_id, &ms[n]) == 200)
			n++;
		if (target_ms > 1000 && i == 9)
			break;
	}
	printf("# %s, ms: p50 %.1f p99 %.1f of %d\n", name,
	       meter_percentile(ms, n, 50), meter_percentile(ms, n, 99), n);
	meter_report(name, meter_percentile(ms, n, 99), "ms", target_ms,
		     n && meter_percentile(ms, n, 99) < target_ms);
}

/* ---- booking throughput relative to disk syncs ---- */

static double measure_sync_rate(struct cluster *c)
{
	char *path = cluster_path(c, "sync-test");
	int fd = open(path, O_WRONLY | O_CREAT | O_APPEND, 0600);
	char block[512] = { 0 };
	gint64 started = g_get_monotonic_time();

	for (int i = 0; i < SYNCS; i++)
		if (write(fd, block, sizeof(block)) < 0 || fdatasync(fd))
			cluster_fail("cannot write or sync the test file");
	close(fd);
	unlink(path);
	g_free(path);
	return SYNCS * 1e6 / (double)(g_get_monotonic_time() - started);
}

struct booking_client {
	struct cluster *cluster;
	pthread_t thread;
	int index, completed, failed;
	gint64 deadline_ms;
	double ms_sum;
	char *first_error;
};

static void *run_booking_client(void *arg)
{
	struct booking_client *booking_client = arg;
	struct cluster *c = booking_client->cluster;

	for (int i = 0; cluster_now_ms() < booking_client->deadline_ms; i++) {
		char *headers = g_strdup_printf("Idempotency-Key: b-%d-%d\r\n",
						booking_client->index, i);
		struct job opts = {
			.name = (char *)"b",
			.address =
				c->nodes[booking_client->index % c->node_count]
					.callers,
			.key = c->account_key,
			.path = (char *)"/services/queue/bookings",
			.headers = headers,
			.body = (char *)"slot=1",
		};
		struct job *job = job_start(&opts);

		job_join(job);
		if (job->result == JOB_COMPLETE) {
			booking_client->completed++;
			booking_client->ms_sum +=
				(double)(job->ended_us - job->started_us) /
				1000;
		} else {
			/* Only the first error of each client is reported. */
			if (!booking_client->failed++)
				booking_client->first_error = job_describe(job);
		}
		job_free(job);
		g_free(headers);
	}
	return NULL;
}

static void measure_bookings(struct cluster *c, int count)
{
	struct booking_client *clients = g_new0(struct booking_client, count);
	double rate = measure_sync_rate(c), completed = 0, failed = 0, ms = 0;

	for (int i = 0; i < count; i++) {
		clients[i].cluster = c;
		clients[i].index = i;
		clients[i].deadline_ms = cluster_now_ms() + WINDOW_MS;
		pthread_create(&clients[i].thread, NULL, run_booking_client,
			       &clients[i]);
	}
	for (int i = 0; i < count; i++) {
		pthread_join(clients[i].thread, NULL);
		completed += clients[i].completed;
		failed += clients[i].failed;
		ms += clients[i].ms_sum;
		if (clients[i].first_error)
			printf("# client %d: %s\n", i, clients[i].first_error);
		g_free(clients[i].first_error);
	}
	printf("# %d clients: %.0f bookings/s, %.0f failed, mean %.2f ms; "
	       "the disk syncs %.0f/s\n",
	       count, completed * 1000 / WINDOW_MS, failed,
	       ms / MAX(completed, 1), rate);
	if (count == BOOKING_CLIENTS)
		/*
		 * A booking takes two commands, but can share syncs with other
		 * bookings.
		 */
		meter_report("bookings_s_over_sync_s",
			     completed * 1000 / WINDOW_MS / rate, "ratio",
			     1 / 1.5,
			     completed * 1000 / WINDOW_MS / rate > 1 / 1.5);
	g_free(clients);
	cluster_check_alive(c);
}

static void measure_restart(struct cluster *c, const char *name)
{
	gint64 started;
	int node = cluster_wait_leader(c) % c->node_count + 1;
	json_t *status = NULL;

	cluster_signal_node(c, node, SIGKILL);
	started = g_get_monotonic_time();
	cluster_start_node(c, node);
	while (!status) {
		status = cluster_get(c, node, "/v1/status");
		usleep(5000);
	}
	meter_report(name, (double)(g_get_monotonic_time() - started) / 1000,
		     "ms", 5000, g_get_monotonic_time() - started < 5000000);
	json_decref(status);
}

static void measure_idle(struct cluster *c)
{
	struct process_usage before[CLUSTER_NODES_MAX], after;
	double cpu = 0, rss = 0;

	usleep(2000000);
	for (int i = 0; i < c->node_count; i++)
		meter_usage(c->nodes[i].pid, &before[i]);
	usleep(5000000);
	for (int i = 0; i < c->node_count; i++) {
		meter_usage(c->nodes[i].pid, &after);
		cpu = MAX(cpu, (after.cpu_us - before[i].cpu_us) / 5e6 * 100);
		rss = MAX(rss, after.rss_kb / 1024);
	}
	meter_report("idle_cpu_of_a_core", cpu, "percent", 1.1, cpu <= 1.1);
	meter_report("idle_rss", rss, "MB", 64, rss <= 64);
}

int main(void)
{
	struct cluster *c = cluster_create(true);
	const char *const service_args[] = { "--count", "3",  "--delay-ms", "0",
					     "--runs",	NULL, NULL };
	char *runs_path = cluster_path(c, "runs");
	const char *args[8];

	signal(SIGPIPE, SIG_IGN);
	for (int i = 0; i < 7; i++)
		args[i] = service_args[i];
	args[5] = runs_path;
	args[6] = NULL;
	cluster_start(c, 4);
	cluster_start_fake(c, "fake_service", "plain", args);
	usleep(1500000);
	measure_idle(c);
	add_queue_service(c);
	measure_activation(c, "accepted_to_in_force_p99", 1000);
	if (!getenv("NO_KILLS"))
		measure_leader_failover(c);
	measure_bookings(c, 1);
	measure_bookings(c, BOOKING_CLIENTS);
	measure_bookings(c, 64);
	measure_restart(c, "restart_after_bookings");
	usleep(2000000);
	for (int i = 1; i <= 3; i++) {
		cluster_set_link_fault(c, 4, i, "cut");
		cluster_set_link_fault(c, i, 4, "cut");
	}
	usleep(3500000);
	measure_activation(c, "in_force_with_one_vm_cut_off_p99", 5000);
	g_free(runs_path);
	cluster_destroy(c);
	return 0;
}
