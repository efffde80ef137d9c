#include <stdbool.h>
#include <string.h>
#include <sys/queue.h>

#include <event2/keyvalq_struct.h>
#include <glib.h>

#include "entry/response_head.h"

#define FIRST_FINAL_STATUS 200
#define LAST_STATUS 599
#define TOKEN_CHARACTERS \
	"!#$%&'*+-.^_`|~" G_CSET_DIGITS G_CSET_a_2_z G_CSET_A_2_Z
#define DELETE_CHARACTER 0x7f

static bool is_token(const char *name)
{
	size_t size = strlen(name);

	return size && strspn(name, TOKEN_CHARACTERS) == size;
}

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
		return "not a final status";
	TAILQ_FOREACH(header, headers, next)
	if (!is_token(header->key) || has_control_character(header->value))
		return "a malformed header field";
	return NULL;
}
