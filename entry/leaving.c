#include <inttypes.h>
#include <string.h>

#include "common/log.h"
#include "entry/attempt.h"
#include "entry/leaving.h"

static const struct log leaving_log = { "leaving" };

struct leaving {
	struct entry *entry;
	GHashTable *starts; /* VM name -> uint64_t, its incarnation */
};

struct leaving *leaving_create(struct entry *entry)
{
	struct leaving *leaving = g_new0(struct leaving, 1);

	leaving->entry = entry;
	leaving->starts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	return leaving;
}

void leaving_destroy(struct leaving *leaving)
{
	if (!leaving)
		return;
	g_hash_table_unref(leaving->starts);
	g_free(leaving);
}

/* Whether a record is of an earlier start of a VM, or of one that is gone. */
static gboolean is_over(gpointer name, gpointer start, gpointer ctx)
{
	const struct leaving *leaving = ctx;
	const struct view_vm *vm = view_find(leaving->entry->view, name);

	return !vm || vm->report.incarnation != *(const uint64_t *)start;
}

bool leaving_has(struct leaving *leaving, const char *name)
{
	gpointer start;

	if (!g_hash_table_size(leaving->starts))
		return false;
	start = g_hash_table_lookup(leaving->starts, name);
	return start && !is_over((gpointer)name, start, leaving);
}

static void note(struct leaving *leaving, const struct call *call,
		 const char *name)
{
	const struct view_vm *vm = view_find(leaving->entry->view, name);

	if (!vm || leaving_has(leaving, name))
		return;
	g_hash_table_foreach_remove(leaving->starts, is_over, leaving);
	g_hash_table_insert(leaving->starts, g_strdup(name),
			    g_memdup2(&vm->report.incarnation,
				      sizeof(vm->report.incarnation)));
	log_note(&leaving_log,
		 "request %s: endpoint says that it leaves vm=%s replica=%u "
		 "entry=%u at=%s announced=%s",
		 call->id, name, call->attempt->replica, call->attempt->peer,
		 call->attempt->address,
		 vm->report.leaving ? "leaving" : "staying");
	services_update_health(leaving->entry);
}

void leaving_read(struct call *call, const struct evkeyvalq *headers)
{
	const char *header = call->attempt->peer ? LEAVING_HEADER
						 : call->format->leaving_header;
	const char *value = header ? evhttp_find_header(headers, header) : NULL;
	const char *vm = call->attempt->peer
				 ? value
				 : services_head_vm(call->service,
						    call->attempt->replica);

	*call->attempt->response.leaving_vm = '\0';
	/* It may be another endpoint's, which took the address over. */
	if (!value || !vm ||
	    call->attempt->response.class == RESPONSE_MISMATCHED ||
	    call->attempt->response.status == HTTP_MISDIRECTED ||
	    !strcmp(value, "0"))
		return;
	g_strlcpy(call->attempt->response.leaving_vm, vm,
		  sizeof(call->attempt->response.leaving_vm));
	note(call->entry->leaving, call, vm);
}

void leaving_add_header(const struct call *call, struct evkeyvalq *out)
{
	if (call->relayed && *call->attempt->response.leaving_vm)
		evhttp_add_header(out, LEAVING_HEADER,
				  call->attempt->response.leaving_vm);
}
