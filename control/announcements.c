/*
 * Receives the announcements of VMs on a control VM and sends digests of them
 * to the other processes.
 */
#include <inttypes.h>

#include "common/log.h"
#include "control/control_internal.h"
#include "wire/codec.h"

static const struct log announcements_log = { "announcements" };

struct announcements {
	struct control *control;
	struct monitor *monitor;
	struct event *digest_timer;
	struct unconfirmed *unconfirmed;
	bool full_digest_needed;
};

static void send_digest(struct announcements *a)
{
	struct control *control = a->control;
	int64_t now = control_now_ms(control);
	struct digest digest;
	GBytes *bytes;

	monitor_make_digest(a->monitor, now, a->full_digest_needed, &digest);
	a->full_digest_needed = !view_merge(control->view, now, &digest);
	bytes = CODEC_ENCODE(digest, &digest);
	monitor_digest_clear(&digest);
	if (!bytes) {
		counters_add(control->opts.counters, COUNTER_ENCODINGS_FAILED,
			     1);
		log_error(&announcements_log, "digest not sent: "
					      "exceeds a size limit");
		return;
	}
	peers_send_digest(control, bytes);
	g_bytes_unref(bytes);
}

static void on_digest_timer(evutil_socket_t fd, short what, void *ctx)
{
	(void)fd;
	(void)what;
	send_digest(ctx);
}

char *announcements_line(const struct vm_report *report)
{
	GString *staged = g_string_new(NULL);
	char *line;

	for (u_int i = 0; i < report->staged.staged_len; i++)
		g_string_append_printf(staged, "%s%s", i ? "," : "",
				       report->staged.staged_val[i]);
	line = g_strdup_printf("VM %s at %s: replica=%u epoch=%" PRIu64 " "
			       "ready=%d serving=%d broken=%d leaving=%d "
			       "loaded=%s staged=%s incarnation=%" PRIu64,
			       report->name, report->address, report->replica,
			       report->epoch, report->ready, report->serving,
			       report->broken, report->leaving,
			       *report->model ? report->model : "-",
			       staged->len ? staged->str : "-",
			       report->incarnation);
	g_string_free(staged, TRUE);
	return line;
}

void announcements_receive(struct announcements *a,
			   const struct vm_report *report)
{
	struct counters *counters = a->control->opts.counters;
	char *line;

	counters_add(counters, COUNTER_ANNOUNCEMENTS, 1);
	if (unconfirmed_hold(a->unconfirmed, a->control->view,
			     control_now_ms(a->control), report)) {
		log_info(&announcements_log,
			 "VM %s was lost: ignoring one announcement, which "
			 "may have been delayed, until another arrives",
			 report->name);
		return;
	}
	if (!monitor_handle_announcement(a->monitor, control_now_ms(a->control),
					 report))
		return;
	if (log_enabled(G_LOG_LEVEL_INFO)) {
		line = announcements_line(report);
		log_info(&announcements_log, "%s", line);
		g_free(line);
	}
	/* Sent at once: entries must stop using a VM that is leaving. */
	send_digest(a);
}

void announcements_deregister(struct announcements *a, const char *vm)
{
	struct control *control = a->control;
	const struct view_vm *seen = view_find(control->view, vm);

	if (!monitor_mark_leaving(a->monitor, control_now_ms(control),
				  seen ? &seen->report : NULL, vm))
		return;
	log_info(&announcements_log, "VM %s announced that it is stopping", vm);
	send_digest(a);
}

void announcements_request_full_digest(struct announcements *a)
{
	a->full_digest_needed = true;
}

struct announcements *announcements_create(struct control *control)
{
	const struct limit_settings *limits = &control->opts.settings->limits;
	struct announcements *a = g_new0(struct announcements, 1);
	struct monitor_opts opts = {
		.node = (uint32_t)control->opts.settings->node.id,
		.incarnation = control->identity.incarnation,
		.silence_ms = (int32_t)limits->vm_silence_ms,
	};

	a->control = control;
	a->monitor = monitor_create(&opts);
	a->full_digest_needed = true;
	a->unconfirmed = unconfirmed_create();
	return a;
}

void announcements_start(struct announcements *a)
{
	const struct limit_settings *limits =
		&a->control->opts.settings->limits;
	struct timeval interval = { limits->digest_ms / 1000,
				    (limits->digest_ms % 1000) * 1000 };

	a->digest_timer = event_new(a->control->base, -1, EV_PERSIST,
				    on_digest_timer, a);
	event_add(a->digest_timer, &interval);
}

void announcements_destroy(struct announcements *a)
{
	if (!a)
		return;
	if (a->digest_timer)
		event_free(a->digest_timer);
	monitor_destroy(a->monitor);
	unconfirmed_destroy(a->unconfirmed);
	g_free(a);
}
