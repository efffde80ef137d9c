/*
 * Compares requests through one entry with requests sent directly to the
 * emulated engine, interleaved in one run. Then measures throughput and
 * processor time of the entry.
 * usage: bench_path
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bench/meter.h"
#include "test/cluster.h"
#include "test/jobs.h"

#define ROUNDS 400
#define TOKENS 20
#define LOAD_THREADS 48
#define LOAD_MS 5000
#define LOAD_TOKENS 64

static void add_service(struct cluster *c)
{
	char *hash = cluster_key_hash(c->account_key);
	char *text = g_strdup_printf("name = \"assistant\"\nmodel = "
				     "\"m\"\nvms_per_replica = 1\n"
				     "slots_per_replica = 64\ndeadline_ms = "
				     "600000\n"
				     "[[presets]]\nname = "
				     "\"ordinary\"\nreplicas = 4\n"
				     "[[accounts]]\nname = "
				     "\"studio\"\nkey_sha256 = \"%s\"\n",
				     hash);

	cluster_apply_service(c, text);
	g_free(hash);
	g_free(text);
}

struct replica_target {
	char address[64];
	char headers[160];
};

/* Finds the address and headers for requests that bypass the entry. */
static void find_replica(struct cluster *c, struct replica_target *out)
{
	json_t *body, *row;

	cluster_wait_healthy(c, 4);
	body = cluster_get(c, cluster_wait_leader(c), "/v1/replicas");
	row = json_array_get(json_object_get(body, "replicas"), 0);
	g_strlcpy(out->address, json_string_value(json_object_get(row, "head")),
		  sizeof(out->address));
	g_snprintf(out->headers, sizeof(out->headers),
		   "X-Replica: %lld\r\nX-Epoch: %lld\r\n",
		   (long long)json_integer_value(json_object_get(row, "replic"
								      "a")),
		   (long long)json_integer_value(json_object_get(row, "epoc"
								      "h")));
	json_decref(body);
}

static struct job *start_request(struct cluster *c,
				 const struct replica_target *direct,
				 int tokens)
{
	char body[160];
	struct job opts = {
		.name = (char *)"s",
		.address = direct ? (char *)direct->address
				  : c->nodes[0].callers,
		.key = c->account_key,
		.path = (char *)"/v1/chat/completions",
		.body = body,
		.headers = direct ? (char *)direct->headers : NULL,
		.stream = true,
		.tokens = tokens,
	};

	g_snprintf(body, sizeof(body),
		   "{\"model\":\"assistant\",\"stream\":true,"
		   "\"max_tokens\":%d,\"messages\":[]}",
		   tokens);
	return job_start(&opts);
}

static void measure_latency(struct cluster *c,
			    const struct replica_target *direct)
{
	double ttft_ms[2][ROUNDS], gap_ms[2][ROUNDS];
	static const double percentiles[] = { 50, 95, 99 };

	for (int i = 0; i < ROUNDS; i++)
		for (int through_entry = 0; through_entry < 2;
		     through_entry++) {
			struct job *job = start_request(
				c, through_entry ? NULL : direct, TOKENS);

			job_join(job);
			if (job->result != JOB_COMPLETE)
				cluster_fail("a request did not complete");
			ttft_ms[through_entry][i] =
				(double)(job->first_us - job->started_us) /
				1000;
			gap_ms[through_entry][i] =
				(double)(job->ended_us - job->first_us) / 1000 /
				(TOKENS - 1);
			job_free(job);
		}
	for (int p = 0; p < 3; p++) {
		double direct_ttft = meter_percentile(ttft_ms[0], ROUNDS,
						      percentiles[p]);
		double entry_ttft = meter_percentile(ttft_ms[1], ROUNDS,
						     percentiles[p]);
		double direct_gap = meter_percentile(gap_ms[0], ROUNDS,
						     percentiles[p]);
		double entry_gap = meter_percentile(gap_ms[1], ROUNDS,
						    percentiles[p]);

		printf("# p%.0f first token ms direct %.3f entry %.3f; "
		       "between tokens direct %.3f entry %.3f\n",
		       percentiles[p], direct_ttft, entry_ttft, direct_gap,
		       entry_gap);
		if (percentiles[p] == 95)
			meter_report("added_first_token_p95",
				     entry_ttft - direct_ttft, "ms", 1,
				     entry_ttft - direct_ttft < 1);
	}
}

struct load_client {
	struct cluster *cluster;
	pthread_t thread;
	gint64 deadline_ms;
	int completed, failed;
	int tokens;
};

static void *run_load_client(void *arg)
{
	struct load_client *client = arg;

	while (cluster_now_ms() < client->deadline_ms) {
		struct job *job = start_request(client->cluster, NULL,
						client->tokens);

		job_join(job);
		if (job->result == JOB_COMPLETE)
			client->completed++;
		else
			client->failed++;
		job_free(job);
	}
	return NULL;
}

static void measure_throughput(struct cluster *c, int tokens,
			       double *requests_s, double *tokens_s,
			       double *request_cpu_us)
{
	struct load_client clients[LOAD_THREADS] = { 0 };
	struct process_usage before, after;
	gint64 started = g_get_monotonic_time();
	double seconds;
	int completed = 0, failed = 0;

	meter_usage(c->nodes[0].pid, &before);
	for (int i = 0; i < LOAD_THREADS; i++) {
		clients[i].cluster = c;
		clients[i].tokens = tokens;
		clients[i].deadline_ms = cluster_now_ms() + LOAD_MS;
		pthread_create(&clients[i].thread, NULL, run_load_client,
			       &clients[i]);
	}
	for (int i = 0; i < LOAD_THREADS; i++) {
		pthread_join(clients[i].thread, NULL);
		completed += clients[i].completed;
		failed += clients[i].failed;
	}
	meter_usage(c->nodes[0].pid, &after);
	seconds = (double)(g_get_monotonic_time() - started) / 1e6;
	*requests_s = completed / seconds;
	*tokens_s = completed * tokens / seconds;
	*request_cpu_us = (after.cpu_us - before.cpu_us) / MAX(completed, 1);
	printf("# %d tokens a request: %.0f requests/s, %.0f tokens/s, "
	       "%.0f us of entry per request, %.0f%% of a core, %d failed\n",
	       tokens, *requests_s, *tokens_s, *request_cpu_us,
	       (after.cpu_us - before.cpu_us) / seconds / 1e4, failed);
}

int main(void)
{
	struct cluster *c = cluster_create(false);
	const char *const engine[] = { "--domains", "a/a1:4",	    "--step-us",
				       "200",	    "--prefill-us", "0",
				       NULL };
	struct replica_target direct;
	double requests, tokens, cpu_one, cpu_many, per_token;

	signal(SIGPIPE, SIG_IGN);
	cluster_start(c, 3);
	cluster_start_fake(c, "fake_engine", "eng", engine);
	add_service(c);
	find_replica(c, &direct);
	usleep(500000);
	measure_latency(c, &direct);
	measure_throughput(c, 1, &requests, &tokens, &cpu_one);
	meter_report("requests_s", requests, "1/s", 1240, requests >= 1240);
	measure_throughput(c, LOAD_TOKENS, &requests, &tokens, &cpu_many);
	per_token = (cpu_many - cpu_one) / (LOAD_TOKENS - 1);
	meter_report("tokens_s", tokens, "1/s", 280000, tokens >= 280000);
	meter_report("cpu_us_per_token", per_token, "us", 1e6 / 280000,
		     per_token <= 1e6 / 280000);
	cluster_destroy(c);
	return 0;
}
