#include <string.h>
#include <unistd.h>

#include "common/fetch.h"
#include "test/part_clients.h"

#define OTHER_PARTS 8u
#define PREFIX_MAX 96
#define PREFIX_HEADER 10 /* the last of a request's headers */

struct part_clients {
	char **entries;
	char *part, *path;
	int per_entry, pause_ms, timeout_ms;
	GPtrArray *threads;
	volatile gint stop;
	GMutex lock;
	struct part_counts counts;
	guint number; /* of the last request */
};

struct client {
	struct part_clients *all;
	const char *entry;
};

static void make_prefix(struct part_clients *all, guint number, char *out)
{
	if (all->part)
		g_snprintf(out, PREFIX_MAX, "aa11:100,%s:40,%x:10", all->part,
			   0x10000 + number);
	else
		g_snprintf(out, PREFIX_MAX, "aa11:100,cc%x:40,%x:10",
			   number % OTHER_PARTS, 0x10000 + number);
}

static void send_one(const struct client *client)
{
	struct part_clients *all = client->all;
	guint number = (guint)g_atomic_int_add((gint *)&all->number, 1);
	char prefix[PREFIX_MAX], id[16];
	const char *headers[] = {
		"Host",	       "shop.example",	"X-Api-Key",
		"k1",	       "Attempt-Id",	id,
		"Token-Count", "150,10",	"Request-Deadline",
		"3000",	       "Prompt-Prefix", prefix,
		NULL
	};
	struct fetch_request request = {
		.address = client->entry,
		.method = "POST",
		.path = all->path ? all->path : "/llm/x",
		.headers = headers,
		.wanted_header = "Response-Seal",
		.body = "q",
		.body_size = -1,
		.timeout_ms = all->timeout_ms,
	};
	struct fetch_response response;
	bool success, failure;

	make_prefix(all, number, prefix);
	if (all->path)
		headers[PREFIX_HEADER] = NULL;
	g_snprintf(id, sizeof(id), "%s%x", all->part || all->path ? "b" : "a",
		   number);
	(void)fetch(&request, &response);
	success = response.status == 200;
	failure = response.status == 500;
	g_mutex_lock(&all->lock);
	all->counts.sent++;
	all->counts.served += success;
	all->counts.failed += failure;
	all->counts.mixed += response.header && !success && !failure;
	all->counts.refused += response.status == 503 || response.status == 429;
	g_mutex_unlock(&all->lock);
	fetch_clear(&response);
}

static gpointer run_client(gpointer ctx)
{
	struct client *client = ctx;

	while (!g_atomic_int_get(&client->all->stop)) {
		send_one(client);
		usleep((useconds_t)client->all->pause_ms * 1000);
	}
	g_free(client);
	return NULL;
}

struct part_clients *part_clients_start(const struct part_clients_opts *opts)
{
	struct part_clients *all = g_new0(struct part_clients, 1);

	all->entries = g_strdupv((char **)opts->entries);
	all->part = g_strdup(opts->part);
	all->path = g_strdup(opts->path);
	all->per_entry = opts->per_entry;
	all->pause_ms = opts->pause_ms;
	all->timeout_ms = opts->timeout_ms;
	all->threads = g_ptr_array_new();
	g_mutex_init(&all->lock);
	for (int i = 0; all->entries[i]; i++) {
		for (int j = 0; j < all->per_entry; j++) {
			struct client *client = g_new(struct client, 1);

			*client = (struct client){ all, all->entries[i] };
			g_ptr_array_add(all->threads,
					g_thread_new("client", run_client,
						     client));
		}
	}
	return all;
}

void part_clients_stop(struct part_clients *all)
{
	if (!all)
		return;
	g_atomic_int_set(&all->stop, 1);
	for (guint i = 0; i < all->threads->len; i++)
		g_thread_join(all->threads->pdata[i]);
	g_ptr_array_unref(all->threads);
	g_mutex_clear(&all->lock);
	g_strfreev(all->entries);
	g_free(all->part);
	g_free(all->path);
	g_free(all);
}

void part_clients_reset(struct part_clients *all)
{
	g_mutex_lock(&all->lock);
	memset(&all->counts, 0, sizeof(all->counts));
	g_mutex_unlock(&all->lock);
}

void part_clients_count(struct part_clients *all, struct part_counts *counts)
{
	g_mutex_lock(&all->lock);
	*counts = all->counts;
	g_mutex_unlock(&all->lock);
}
