/* Checks of responses on the platform's interface, by what the fakes send. */
#include <stdio.h>
#include <string.h>

#include "soak/platform.h"

static const char *check_seal(const struct response *response,
			      const struct request *r)
{
	char *seal = response_header(response, "response-seal");
	char *expected = g_strdup_printf("seal-%s", r->id);
	char *id = response_header(response, "attempt-id");
	const char *fault = NULL;

	if (seal && strcmp(seal, expected) != 0)
		fault = "MIXED seal of another request";
	else if (!seal && response->status == 200)
		fault = "MIXED success without a seal";
	else if (id && strcmp(id, r->id) != 0)
		fault = "MIXED answer to another request";
	g_free(seal);
	g_free(expected);
	g_free(id);
	return fault;
}

/* Each event is "id: N", "data: ID N of COUNT", and a blank line. */
static const char *check_events(const char *body, const char *id, bool complete)
{
	char **events = g_strsplit(body, "\n\n", 0);
	guint count = g_strv_length(events) - 1; /* complete ones */
	const char *fault = NULL;
	int total = 0;

	for (guint i = 0; i < count && !fault; i++) {
		char name[64];
		int number, again;

		if (sscanf(events[i], "id: %d\ndata: %63s %d of %d", &number,
			   name, &again, &total) != 4)
			fault = "MIXED bytes that are no event";
		else if (strcmp(name, id) != 0)
			fault = "MIXED event of another request";
		else if (number != (int)i + 1 || again != number)
			fault = "ORDER event missing or doubled";
	}
	if (!fault && complete && (!count || (int)count != total))
		fault = "ORDER complete before its last event";
	g_strfreev(events);
	return fault;
}

static const char *check_body(const struct response *response,
			      const struct request *r)
{
	const char *body = response->body->str;
	size_t size = strlen(r->id);

	if (response->status != 200)
		return NULL;
	if (r->kind == REQUEST_STREAM)
		return check_events(body, r->id, r->complete);
	if (strncmp(body, r->id, MIN(size, response->body->len)) != 0)
		return "MIXED body of another request";
	return NULL;
}

const char *platform_check_response(const struct response *response,
				    const struct request *r)
{
	const char *fault;

	if (!response->head_done)
		return NULL;
	fault = check_seal(response, r);
	return fault ? fault : check_body(response, r);
}
