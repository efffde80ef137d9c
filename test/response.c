#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "test/response.h"

void response_init(struct response *r)
{
	*r = (struct response){
		.raw = g_string_new(NULL),
		.body = g_string_new(NULL),
		.length = -1,
	};
}

void response_clear(struct response *r)
{
	g_string_free(r->raw, TRUE);
	g_string_free(r->body, TRUE);
	g_free(r->head);
}

/* Returns the value of a header in a head of lower-case letters, or NULL. */
static const char *find_header(const char *head, const char *name)
{
	const char *found = strstr(head, name);

	return found ? found + strlen(name) : NULL;
}

char *response_header(const struct response *r, const char *name)
{
	char *key = g_strdup_printf("\n%s: ", name);
	const char *value = r->head ? find_header(r->head, key) : NULL;

	g_free(key);
	return value ? g_strndup(value, strcspn(value, "\r\n")) : NULL;
}

static void parse_head(struct response *r)
{
	char *end = strstr(r->raw->str, "\r\n\r\n");
	const char *length, *retry;
	char *head;

	if (!end)
		return;
	head = g_ascii_strdown(r->raw->str, end - r->raw->str);
	sscanf(head, "http/1.%*d %d", &r->status);
	r->chunked = find_header(head, "\ntransfer-encoding: chunked") != NULL;
	r->close = find_header(head, "\nconnection: close") != NULL;
	length = find_header(head, "\ncontent-length: ");
	if (length)
		r->length = g_ascii_strtoll(length, NULL, 10);
	retry = find_header(head, "\nretry-after: ");
	r->retry_after_s = retry ? atoi(retry) : 0;
	r->head = head;
	g_string_erase(r->raw, 0, end - r->raw->str + 4);
	r->head_done = true;
}

/* Returns false if the next chunk has not been received completely. */
static bool parse_chunk(struct response *r)
{
	char *end = strstr(r->raw->str, "\r\n");
	gsize size, head;

	if (!end)
		return false;
	size = strtoul(r->raw->str, NULL, 16);
	head = (gsize)(end - r->raw->str) + 2;
	if (r->raw->len < head + size + 2)
		return false;
	g_string_append_len(r->body, r->raw->str + head, (gssize)size);
	g_string_erase(r->raw, 0, (gssize)(head + size + 2));
	r->complete = size == 0;
	return !r->complete;
}

static void parse_body(struct response *r)
{
	if (r->chunked) {
		while (parse_chunk(r))
			;
		return;
	}
	g_string_append_len(r->body, r->raw->str, (gssize)r->raw->len);
	g_string_truncate(r->raw, 0);
	r->complete = r->length >= 0 && (int64_t)r->body->len >= r->length;
}

void response_add(struct response *r, const char *data, size_t size)
{
	r->received += size;
	g_string_append_len(r->raw, data, (gssize)size);
	if (!r->head_done)
		parse_head(r);
	if (r->head_done && !r->complete)
		parse_body(r);
}
