#include <stddef.h>

#include "entry/response_head.h"

#define FIRST_FINAL_STATUS 200
#define LAST_STATUS 599

const char *response_head_fault(int status, struct evkeyvalq *headers)
{
	(void)headers;
	if (status < FIRST_FINAL_STATUS || status > LAST_STATUS)
		return "not a final status";
	return NULL;
}
