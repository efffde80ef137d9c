/*
 * Liveness of VMs from the traffic of entries. It is faster and more reliable
 * than announcements: a replica answers only while all its VMs run, and a
 * replica that returns no data may have lost one, which a connect probe of
 * each VM then checks.
 */
#include "common/log.h"
#include "control/feed.h"
#include "control/placer_internal.h"
#include "common/probe.h"

/* No entry received a byte from the replica for this long. */
#define STALL_TIMEOUT_MS 800
/* A VM that accepts no connection within this time is treated as lost. */
#define PROBE_TIMEOUT_MS 400
#define PROBE_INTERVAL_MS 1500

static const struct log watch_log = { "watch" };

static bool is_answering(const struct placer *placer, uint32_t replica,
			 uint64_t epoch)
{
	struct replica_load load;

	return feed_sum_load(placer->control->feed, placer_now_ms(placer),
			     replica, epoch, &load) &&
	       load.last_byte_age_ms < EVIDENCE_STREAM_VALID_MS;
}

bool placer_is_alive(const struct placer *placer, const struct view_vm *vm)
{
	const struct vm_state *held = state_vm(placer_state(placer),
					       vm->report.name);

	return view_alive(placer->control->view, vm, placer_now_ms(placer)) ||
	       (held && is_answering(placer, held->replica, held->epoch));
}

static void on_probed(void *ctx, bool reachable)
{
	struct vm_orders *o = ctx;
	struct placer *placer = o->placer;
	const struct limit_settings *limits =
		&placer->control->opts.settings->limits;
	char *line;

	o->probing = false;
	if (reachable)
		return;
	line = probe_failure_line(o->name, PROBE_TIMEOUT_MS,
				  (int)limits->vm_silence_ms);
	log_note(&watch_log, "%s", line);
	g_free(line);
	view_suspect(placer->control->view, o->name, placer_now_ms(placer),
		     limits->vm_silence_ms);
}

static void probe_vm(struct placer *placer, const char *name)
{
	const struct view_vm *seen = placer_find_alive(placer, name);
	struct vm_orders *o = placer_orders(placer, name);
	int64_t now = placer_now_ms(placer);

	if (!seen || o->probing || now - o->probed_ms < PROBE_INTERVAL_MS)
		return;
	o->probing = true;
	o->probed_ms = now;
	(void)probe_start(placer->control->base,
			  &(struct probe_opts){
				  .address = seen->report.address,
				  .timeout_ms = PROBE_TIMEOUT_MS,
				  .done = on_probed,
				  .ctx = o,
			  });
}

static void probe_if_stalled(void *ctx, const struct replica_state *replica)
{
	struct placer *placer = ctx;
	const struct assign_replica *a = &replica->assign;
	struct replica_load load;

	if (!replica->confirmed ||
	    !feed_sum_load(placer->control->feed, placer_now_ms(placer),
			   a->replica, a->epoch, &load) ||
	    load.last_byte_age_ms < STALL_TIMEOUT_MS)
		return;
	for (u_int i = 0; i < a->vms.vms_len; i++)
		probe_vm(placer, a->vms.vms_val[i].name);
}

void placer_probe_stalled(struct placer *placer)
{
	state_each_replica(placer_state(placer), probe_if_stalled, placer);
}
