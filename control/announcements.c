/*
 * This process as a home: VMs that announce themselves to a control VM, and
 * the digests that tell the other processes of them.
 */
#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

static const struct log announcements_log = { "announcements" };

struct announcements {
	struct control *control;
	struct home *home;
	struct event *timer;
	GHashTable *returning; /* name -> struct returning */
	bool want_full;
};

/** A VM that was lost and says something again. */
struct returning {
	uint64_t incarnation;
	uint64_t sequence; /* of the first announcement since */
};

static void send_digest(struct announcements *a)
{
	struct control *control = a->control;
	int64_t now = control_now_ms(control);
	struct digest digest;
	GBytes *bytes;

	home_digest(a->home, now, a->want_full, &digest);
	a->want_full = !view_merge(control->view, now, &digest);
	bytes = CODEC_ENCODE(digest, &digest);
	home_digest_clear(&digest);
	if (!bytes) {
		log_error(&announcements_log, "a digest cannot be encoded");
		return;
	}
	peers_send_digest(control, bytes);
	g_bytes_unref(bytes);
}

static void on_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_digest(ctx);
}

/*
 * One announcement after a silence may have been held up on its way, and its
 * sender be gone since. So a VM that was lost must be heard twice, unless it
 * was started anew.
 */
static bool may_be_late(struct announcements *a, const struct vm_report *report)
{
	struct control *control = a->control;
	const struct view_vm *seen = view_find(control->view, report->name);
	struct returning *first;

	if (!seen || seen->report.incarnation != report->incarnation ||
	    view_alive(control->view, seen, control_now_ms(control))) {
		g_hash_table_remove(a->returning, report->name);
		return false;
	}
	first = g_hash_table_lookup(a->returning, report->name);
	if (first && first->incarnation == report->incarnation)
		return report->sequence <= first->sequence;
	first = g_new(struct returning, 1);
	*first = (struct returning){ report->incarnation, report->sequence };
	g_hash_table_replace(a->returning, g_strdup(report->name), first);
	return true;
}

void announcements_receive(struct announcements *a,
			   const struct vm_report *report)
{
	struct counters *counters = a->control->opts.counters;

	counters_add(counters, COUNTER_ANNOUNCES, 1);
	if (may_be_late(a, report)) {
		log_info(&announcements_log,
			 "VM %s was lost; one announcement may be a late one",
			 report->name);
		return;
	}
	if (!home_announce(a->home, control_now_ms(a->control), report))
		return;
	log_info(&announcements_log,
		 "VM %s at %s: replica=%u epoch=%" G_GUINT64_FORMAT
		 " ready=%d serving=%d broken=%d leaving=%d staged=%s "
		 "incarnation=%" G_GUINT64_FORMAT,
		 report->name, report->address, report->replica, report->epoch,
		 report->ready, report->serving, report->broken,
		 report->leaving, report->model, report->incarnation);
	/* Told at once: entries must stop using a VM that leaves. */
	send_digest(a);
}

void announcements_deregister(struct announcements *a, const char *vm)
{
	struct control *control = a->control;
	const struct view_vm *seen = view_find(control->view, vm);

	if (!home_leave(a->home, control_now_ms(control),
			seen ? &seen->report : NULL, vm))
		return;
	log_info(&announcements_log, "VM %s says it is about to go", vm);
	send_digest(a);
}

void announcements_request_full_digest(struct announcements *a)
{
	a->want_full = true;
}

struct announcements *announcements_create(struct control *control)
{
	const struct limit_settings *limits = &control->opts.settings->limits;
	struct announcements *a = g_new0(struct announcements, 1);
	struct home_opts opts = {
		.node = (uint32_t)control->opts.settings->node.id,
		.incarnation = control->identity.incarnation,
		.silence_ms = (int32_t)limits->vm_silence_ms,
	};

	a->control = control;
	a->home = home_create(&opts);
	a->want_full = true;
	a->returning = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     g_free);
	return a;
}

void announcements_start(struct announcements *a)
{
	const struct limit_settings *limits =
		&a->control->opts.settings->limits;
	struct timeval every = { limits->digest_ms / 1000,
				 (limits->digest_ms % 1000) * 1000 };

	a->timer = event_new(a->control->base, -1, EV_PERSIST, on_timer, a);
	event_add(a->timer, &every);
}

void announcements_destroy(struct announcements *a)
{
	if (!a)
		return;
	if (a->timer)
		event_free(a->timer);
	home_destroy(a->home);
	g_hash_table_unref(a->returning);
	g_free(a);
}
