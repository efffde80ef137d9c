/* Orders of the native engine interface: JSON bodies with a fencing token. */
#include <jansson.h>

#include "control/orders.h"

static json_t *form_body(const struct order_intent *intent)
{
	json_t *vms = json_array();

	for (u_int i = 0; i < intent->vm_count; i++)
		json_array_append_new(
			vms, json_pack("{s:s,s:s}", "vm", intent->vms[i].name,
				       "address", intent->vms[i].address));
	return json_pack("{s:I,s:I,s:I,s:s,s:s,s:s,s:s,s:I,s:o}", "replica",
			 (json_int_t)intent->replica, "epoch",
			 (json_int_t)intent->epoch, "rank",
			 (json_int_t)intent->rank, "service", intent->service,
			 "model", intent->model, "adapter", intent->adapter,
			 "version", intent->version, "slots",
			 (json_int_t)intent->slots, "vms", vms);
}

static char *native_body(const struct order_intent *intent)
{
	json_t *body;
	char *text;

	if (intent->kind == ORDER_FORM)
		body = form_body(intent);
	else if (intent->kind == ORDER_LOAD)
		body = json_pack("{s:s,s:s,s:s}", "model", intent->model,
				 "adapter", intent->adapter, "version",
				 intent->version);
	else
		body = json_pack("{s:I,s:I}", "replica",
				 (json_int_t)intent->replica, "epoch",
				 (json_int_t)intent->epoch);
	json_object_set_new(body, "order",
			    json_string(order_kind_name(intent->kind)));
	json_object_set_new(body, "fencing",
			    json_integer((json_int_t)intent->epoch));
	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	return text;
}

static enum order_result native_classify_status(int status)
{
	if (status == 200)
		return ORDER_ACCEPTED;
	return status == 409 ? ORDER_STALE : ORDER_REFUSED;
}

const struct order_format native_orders = {
	.body = native_body,
	.classify_status = native_classify_status,
};
