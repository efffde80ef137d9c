#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>
#include <jansson.h>
#include <sys/socket.h>

#include "common/address.h"
#include "test/oracle.h"

#define MALFORMED_CONNECTIONS 40
#define GARBAGE_BYTES 4096

/* ---- executions by idempotency key ---- */

static char **read_lines(const char *path)
{
	char *text = NULL;
	char **lines;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("");
	lines = g_strsplit(text, "\n", 0);
	g_free(text);
	return lines;
}

int oracle_count_runs(const char *path, const char *key)
{
	char **lines = read_lines(path);
	size_t size = strlen(key);
	int count = 0;

	for (int i = 0; lines[i]; i++)
		count += !strncmp(lines[i], key, size) && lines[i][size] == ' ';
	g_strfreev(lines);
	return count;
}

int oracle_count_all_runs(const char *path)
{
	char **lines = read_lines(path);
	int runs = 0;

	for (int i = 0; lines[i]; i++)
		runs += *lines[i] ? 1 : 0;
	g_strfreev(lines);
	return runs;
}

int oracle_count_duplicate_runs(const char *path)
{
	char **lines = read_lines(path);
	GHashTable *seen = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, NULL);
	int doubles = 0;

	for (int i = 0; lines[i]; i++) {
		char *space = strchr(lines[i], ' ');

		if (!space)
			continue;
		*space = '\0';
		/* Requests without a key may be executed repeatedly. */
		if (!strcmp(lines[i], "-"))
			continue;
		doubles += !g_hash_table_add(seen, g_strdup(lines[i]));
	}
	g_hash_table_unref(seen);
	g_strfreev(lines);
	return doubles;
}

/* ---- engine logs ---- */

/** The last orders that a VM accepted. */
struct vm_history {
	json_int_t replica, epoch, incarnation;
	json_int_t highest_epoch; /* accepted in this incarnation */
};

static void vm_free(gpointer data)
{
	g_free(data);
}

static struct vm_history *find_or_add_history(GHashTable *vms, json_t *line)
{
	const char *name = json_string_value(json_object_get(line, "vm"));
	struct vm_history *h = g_hash_table_lookup(vms, name);

	if (!h) {
		h = g_new0(struct vm_history, 1);
		g_hash_table_insert(vms, g_strdup(name), h);
	}
	return h;
}

static json_int_t number(json_t *line, const char *key)
{
	return json_integer_value(json_object_get(line, key));
}

static char *check_order(GHashTable *vms, json_t *line)
{
	struct vm_history *h = find_or_add_history(vms, line);
	const char *order = json_string_value(json_object_get(line, "order"));
	const char *result = json_string_value(json_object_get(line, "result"));
	json_int_t epoch = number(line, "epoch");

	if (strcmp(result, "accepted") != 0 || !strcmp(order, "load"))
		return NULL;
	if (h->incarnation != number(line, "incarnation")) {
		memset(h, 0, sizeof(*h));
		h->incarnation = number(line, "incarnation");
	}
	if (!strcmp(order, "release")) {
		if (h->epoch <= epoch)
			h->replica = 0;
		return NULL;
	}
	if (epoch < h->highest_epoch)
		return g_strdup_printf(
			"VM %s accepted epoch %lld after %lld",
			json_string_value(json_object_get(line, "vm")),
			(long long)epoch, (long long)h->highest_epoch);
	if (h->replica && h->replica != number(line, "replica"))
		return g_strdup_printf(
			"VM %s assigned to replica %lld while in replica %lld",
			json_string_value(json_object_get(line, "vm")),
			(long long)number(line, "replica"),
			(long long)h->replica);
	h->highest_epoch = epoch;
	h->replica = number(line, "replica");
	h->epoch = epoch;
	return NULL;
}

static char *check_line(GHashTable *vms, json_t *line)
{
	const char *event = json_string_value(json_object_get(line, "event"));

	if (!event)
		return g_strdup("log line has no event");
	if (!strcmp(event, "order"))
		return check_order(vms, line);
	if ((!strcmp(event, "begun") || !strcmp(event, "served")) &&
	    !json_is_true(json_object_get(line, "whole")))
		return g_strdup_printf(
			"request %s %s while a VM of its replica was missing",
			json_string_value(json_object_get(line, "request")),
			event);
	return NULL;
}

char *oracle_check_engine(const char *path)
{
	char **lines = read_lines(path);
	GHashTable *vms = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						vm_free);
	char *fault = NULL;

	for (int i = 0; lines[i] && !fault; i++) {
		json_t *line = json_loads(lines[i], 0, NULL);

		if (line)
			fault = check_line(vms, line);
		json_decref(line);
	}
	if (!lines[0] || !*lines[0])
		fault = g_strdup("log is empty");
	g_hash_table_unref(vms);
	g_strfreev(lines);
	return fault ? fault : g_strdup("clean");
}

/* ---- malformed input ---- */

static void append_malformed(GString *out, const char *kind, GRand *random)
{
	if (!strcmp(kind, "bad-json")) {
		const char *body = "{\"model\":\"assistant\",\"messages\":[{";

		g_string_append_printf(out,
				       "POST /v1/chat/completions HTTP/1.1\r\n"
				       "Host: x\r\nContent-Length: %zu\r\n"
				       "Authorization: Bearer x\r\n\r\n%s",
				       strlen(body), body);
		return;
	}
	if (!strcmp(kind, "half-request")) {
		g_string_append(out, "POST /v1/announce HTTP/1.1\r\nHost: x\r\n"
				     "Content-Length: 100\r\n\r\n{\"vm\":");
		return;
	}
	if (!strcmp(kind, "huge")) {
		g_string_append(out, "GET /");
		for (int i = 0; i < 1 << 20; i++)
			g_string_append_c(out, 'a');
		return;
	}
	if (!strcmp(kind, "random-rpc")) {
		guint32 size = (guint32)g_rand_int_range(random, 24, 512);

		g_string_append_c(out, (char)0x80);
		g_string_append_c(out, 0);
		g_string_append_c(out, (char)(size >> 8));
		g_string_append_c(out, (char)size);
		for (guint32 i = 0; i < size; i++)
			g_string_append_c(out, (char)g_rand_int(random));
		return;
	}
	if (!strcmp(kind, "truncated-rpc")) {
		g_string_append_len(out, "\x80\x00\x01\x00\x00\x00", 6);
		return;
	}
	for (int i = 0; i < GARBAGE_BYTES; i++)
		g_string_append_c(out, (char)g_rand_int(random));
}

static bool send_on_connection(const char *text, const char *kind,
			       GRand *random)
{
	struct timeval limit = { 0, 50000 };
	struct address address;
	GString *bytes = g_string_new(NULL);
	char answer[256];
	bool connected;
	int fd;

	(void)address_parse(text, &address);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	connected = !connect(fd, (struct sockaddr *)&address.socket,
			     sizeof(address.socket));
	append_malformed(bytes, kind, random);
	if (connected) {
		(void)!send(fd, bytes->str, bytes->len, MSG_NOSIGNAL);
		(void)!recv(fd, answer, sizeof(answer), 0);
	}
	close(fd);
	g_string_free(bytes, TRUE);
	return connected;
}

bool oracle_send_malformed(const char *address, const char *kind, unsigned seed)
{
	GRand *random = g_rand_new_with_seed(seed);
	bool connected = true;

	for (int i = 0; i < MALFORMED_CONNECTIONS && connected; i++)
		connected = send_on_connection(address, kind, random);
	g_rand_free(random);
	return connected;
}
