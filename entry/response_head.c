#include <sys/queue.h>

#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "common/http.h"
#include "entry/response_head.h"

#define FIRST_FINAL_STATUS 200
#define LAST_STATUS 599
#define DELETE_CHARACTER 0x7f

static bool has_control_character(const char *value)
{
	for (; *value; value++)
		if (((unsigned char)*value < ' ' && *value != '\t') ||
		    *value == DELETE_CHARACTER)
			return true;
	return false;
}

const char *response_head_fault(int status, struct evkeyvalq *headers)
{
	struct evkeyval *header;

	if (status < FIRST_FINAL_STATUS || status > LAST_STATUS)
		return "status-not-final";
	TAILQ_FOREACH(header, headers, next)
	if (!http_is_token(header->key) || has_control_character(header->value))
		return "malformed-field";
	if (http_has_ambiguous_framing(headers))
		return "ambiguous-framing";
	/* Requests ask for no coding, so this is not the endpoint's own body.
	 */
	if (evhttp_find_header(headers, "Content-Encoding"))
		return "content-coding";
	return NULL;
}

/* Whether the empty line that ends a head lies before the position. */
static bool ends_before(struct evbuffer *input, const struct evbuffer_ptr *end)
{
	char start[2] = "";

	evbuffer_copyout(input, start, sizeof(start));
	/* The lines before the empty one may have been removed. */
	if (*start == '\n' || (*start == '\r' && start[1] == '\n'))
		return true;
	return evbuffer_search_range(input, "\n\r\n", 3, NULL, end).pos >= 0 ||
	       evbuffer_search_range(input, "\n\n", 2, NULL, end).pos >= 0;
}

bool response_head_has_nul(struct evbuffer *input)
{
	struct evbuffer_ptr nul = evbuffer_search(input, "", 1, NULL);

	return nul.pos == 0 || (nul.pos > 0 && !ends_before(input, &nul));
}
