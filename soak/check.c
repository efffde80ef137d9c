/* Checks of the records: requests lost, runs, and ends of processes. */
#include <signal.h>

#include <sys/wait.h>

#include "soak/bad_runs.h"
#include "soak/limits.h"

/* A request sent later than this before the connection's end crosses it. */
#define CROSSING_US 200000
/* A request sent later than this after the first signal is never excused. */
#define LATE_SEND_US 3000000
/* The last sixth of the grace period begins here. */
#define LAST_SIXTH_US (SOAK_GRACE_MS * 1000 / 6 * 5)

/* A cut this long after a signal may be due to it. */
#define HANGUP_US 3000000
#define STOP_CUT_US (SOAK_GRACE_MS * 1000 + 1000000)

static const struct endpoint_run no_run;

static const char *const kind_names[REQUEST_KINDS] = {
	"stream", "chat",   "call",	"booking",
	"once",	  "upload", "download", "bad",
};

static double seconds(int64_t us)
{
	return (double)us / 1e6;
}

static const struct endpoint_run *run_of(const struct soak *soak,
					 const struct request *request)
{
	const struct endpoint_run *run =
		g_hash_table_lookup(soak->endpoint_runs, request->id);

	return run ? run : &no_run;
}

static const char *reason_of(const struct soak *soak, const struct request *r)
{
	const char *reason = soak->reasons
				     ? g_hash_table_lookup(soak->reasons, r->id)
				     : NULL;

	return reason ? reason : "no reason";
}

static void append_process(GString *out, const struct soak *soak,
			   const struct process *p, int64_t from_us)
{
	g_string_append_printf(out, "node %d start %d (%.3f s), signals",
			       p->node, p->start,
			       seconds(p->started_us - soak->began_us));
	for (int i = 0; i < p->signal_count; i++)
		g_string_append_printf(out, " %d:%+.3f", p->signals[i].number,
				       seconds(p->signals[i].at_us - from_us));
	if (p->exited_us)
		g_string_append_printf(out, ", exit %+.3f status %x",
				       seconds(p->exited_us - from_us),
				       (unsigned)p->wait_status);
}

/* Times of the process are relative to the end of the request. */
static void report_request(struct soak_result *result, const struct soak *soak,
			   const struct request *r, const char *what)
{
	const struct endpoint_run *run = run_of(soak, r);
	GString *out = g_string_new(what);

	g_string_append_printf(out,
			       " %s %s: begun at %.3f s, sent %+.3f s, ended "
			       "%+.3f s; ",
			       kind_names[r->kind], r->id,
			       seconds(r->begun_us - soak->began_us),
			       r->sent_us ? seconds(r->sent_us - r->begun_us)
					  : 0.0,
			       seconds(r->ended_us - r->begun_us));
	append_process(out, soak, r->process, r->ended_us);
	if (run->ended_us)
		g_string_append_printf(out, "; endpoint's last event %+.3f s",
				       seconds(run->ended_us - r->ended_us));
	g_string_append_printf(out,
			       "; endpoint received %d begun %d served %d "
			       "broken %d cancelled %d; status %d %s, %zu "
			       "bytes, %s; entry: %s",
			       run->received, run->begun, run->served,
			       run->broken, run->cancelled, r->status,
			       r->refusal ? r->refusal : "", r->received,
			       r->end ? r->end : "complete",
			       reason_of(soak, r));
	g_ptr_array_add(result->findings, g_string_free(out, FALSE));
}

static void report_process(struct soak_result *result, const struct soak *soak,
			   const struct process *p, const char *what)
{
	GString *out = g_string_new(what);

	g_string_append_c(out, ' ');
	append_process(out, soak, p, p->started_us);
	g_ptr_array_add(result->findings, g_string_free(out, FALSE));
}

/* ---- requests ---- */

static bool counts_as_lost(const struct request *r,
			   const struct endpoint_run *run)
{
	if (r->complete)
		return false;
	return run->begun || run->received ||
	       (r->sent_us && r->ended_us - r->sent_us > CROSSING_US);
}

static bool is_complete_at_endpoint(const struct request *r,
				    const struct endpoint_run *run)
{
	return run->served && run->ended_us <= r->ended_us;
}

/* Whether the engine was still at work in the last sixth of the grace period */
static bool engine_too_slow(const struct request *r,
			    const struct endpoint_run *run)
{
	int64_t stop_us = process_stop_us(r->process);
	int64_t sixth_us = stop_us + LAST_SIXTH_US;

	return stop_us && run->begun && !is_complete_at_endpoint(r, run) &&
	       (r->kind == REQUEST_STREAM || r->kind == REQUEST_CHAT) &&
	       r->sent_us && r->sent_us <= stop_us + LATE_SEND_US &&
	       r->ended_us >= sixth_us &&
	       (!run->ended_us || run->ended_us >= sixth_us);
}

/* All requests are valid, so a caller may only be told to come again. */
static bool is_refused_for_good(const struct soak *soak,
				const struct request *r)
{
	if (r->status == 421 && soak->opts.rig == &platform_rig)
		return false;
	return r->complete && r->status >= 400 && r->status < 500 &&
	       r->status != 408 && r->status != 429;
}

static void count(GHashTable *counts, const char *name)
{
	gpointer n = g_hash_table_lookup(counts, name);

	g_hash_table_insert(counts, g_strdup(name),
			    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

/* Whether the process was being stopped, or had read its settings again. */
static bool is_around_stop(const struct request *r)
{
	for (int i = 0; i < r->process->signal_count; i++) {
		const struct sent_signal *s = &r->process->signals[i];
		int64_t until_us = s->number == SIGHUP ? HANGUP_US
						       : STOP_CUT_US;

		if (r->ended_us >= s->at_us &&
		    r->sent_us <= s->at_us + until_us)
			return true;
	}
	return false;
}

/* What the endpoint's own times say of a request that was cut. */
static const char *phase_of(const struct request *r,
			    const struct endpoint_run *run)
{
	int64_t stop_us = process_stop_us(r->process);

	if (run->stalled)
		return "its replica lost a VM";
	if (is_complete_at_endpoint(r, run))
		return "complete at the endpoint";
	if (!run->begun)
		return "not begun at an endpoint";
	if (stop_us && r->sent_us > stop_us + LATE_SEND_US)
		return "sent late";
	return "at work";
}

static void count_cause(const struct soak *soak, const struct request *r,
			const char *what, struct soak_result *result)
{
	char *cause = g_strdup_printf("%s %s, %s", what, reason_of(soak, r),
				      phase_of(r, run_of(soak, r)));

	count(result->causes, cause);
	g_free(cause);
}

static void report_cut(const struct soak *soak, const struct request *r,
		       struct soak_result *result)
{
	const char *what = is_around_stop(r) ? "LOST" : "CUT";

	count_cause(soak, r, what, result);
	report_request(result, soak, r, what);
}

static void check_request(const struct soak *soak, const struct request *r,
			  struct soak_result *result)
{
	const struct endpoint_run *run = run_of(soak, r);

	result->requests++;
	result->complete += r->complete && r->status == 200;
	result->refused += r->complete && r->status != 200;
	if (r->refusal)
		count(result->refusals, r->refusal);
	if (is_refused_for_good(soak, r))
		report_request(result, soak, r, "REFUSED-FOR-GOOD");
	if (r->not_run && run->begun)
		report_request(result, soak, r, "RAN-THOUGH-NOT-RUN");
	if ((r->kind == REQUEST_BOOKING || r->kind == REQUEST_ONCE) &&
	    run->begun > 1)
		report_request(result, soak, r, "RAN-TWICE");
	if (r->gave_up)
		report_request(result, soak, r, "UNANSWERED");
	if (r->fault)
		report_request(result, soak, r, r->fault);
	result->abandoned += r->abandoned;
	if (r->gave_up || r->abandoned || !counts_as_lost(r, run))
		return;
	/* Its answer is the end of an endpoint; see bad_runs.c for its runs. */
	if (r->kind == REQUEST_BAD)
		return;
	if (run->broken || run->stalled || r->ended_us >= r->deadline_us ||
	    engine_too_slow(r, run)) {
		result->excused++;
		count_cause(soak, r, "excused", result);
	} else {
		report_cut(soak, r, result);
	}
}

/* ---- processes ---- */

/* A signal may arrive before the process has a handler for it. */
static bool ended_before_it_was_up(const struct process *p)
{
	return !p->up && p->signal_count && WIFSIGNALED(p->wait_status) &&
	       WTERMSIG(p->wait_status) == p->signals[0].number;
}

static void check_process(const struct soak *soak, const struct process *p,
			  struct soak_result *result)
{
	int64_t stop_us = process_stop_us(p);
	int stops = 0;

	for (int i = 0; i < p->signal_count; i++)
		stops += p->signals[i].number != SIGHUP;
	result->stops += stops > 0;
	result->repeated_signals += MAX(stops - 1, 0);
	if (!p->exited_us)
		report_process(result, soak, p, "NEVER-ENDED");
	else if (p->killed ||
		 (stop_us && p->exited_us - stop_us > SOAK_GRACE_MS * 1000))
		report_process(result, soak, p, "OUTLASTED-GRACE-PERIOD");
	else if (ended_before_it_was_up(p))
		result->early_ends++;
	else if (!stop_us)
		report_process(result, soak, p, "ENDED-WITHOUT-SIGNAL");
	else if (p->wait_status)
		report_process(result, soak, p, "EXIT-STATUS");
}

void check_records(const struct soak *soak, struct soak_result *result)
{
	for (guint i = 0; i < soak->requests->len; i++)
		check_request(soak, soak->requests->pdata[i], result);
	for (guint i = 0; i < soak->processes->len; i++)
		check_process(soak, soak->processes->pdata[i], result);
	if (soak->limits)
		limits_check(soak, result);
	if (soak->bad_runs)
		bad_runs_check(soak, result);
}
