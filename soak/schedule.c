/* Signals, restarts and changes, drawn from the seed. */
#include <signal.h>
#include <stdio.h>

#include "soak/soak.h"

#define NEVER_MS (-1)
#define FIRST_SERIES_MS 1000
#define DEFAULT_RESTART_MS 500
#define CHANGE_INTERVAL_MS 5000
/* From one stop of a control VM to the next. */
#define CONTROL_STOP_MIN_MS 2500
#define CONTROL_STOP_MAX_MS 9000

enum action_kind {
	ACTION_SIGNAL,
	ACTION_EDIT_SETTINGS,
	ACTION_RESTART,
	ACTION_CHANGE,
};

struct action {
	enum action_kind kind;
	int64_t at_us;
	int node;
	int signal;
	bool first;	/* of a stop: sets what happens after the exit */
	int restart_ms; /* from the exit to the next start */
	int again_ms;	/* from that start to a SIGTERM; NEVER_MS for none */
};

struct schedule {
	struct soak *soak;
	GRand *random;
	GPtrArray *actions; /* of struct action, pending, in no order */
	struct action
		plan[CLUSTER_NODES_MAX + 1]; /* what follows a node's exit */
	bool restart_pending[CLUSTER_NODES_MAX + 1];
	GThread *operator; /* makes a change; NULL while idle */
	gint changing;	   /* atomic; the operator is at work */
	int changes;
};

static bool chance(struct schedule *s, int percent)
{
	return g_rand_int_range(s->random, 0, 100) < percent;
}

static int draw(struct schedule *s, int from, int to)
{
	return g_rand_int_range(s->random, from, to + 1);
}

static struct action *add(struct schedule *s, enum action_kind kind, int node,
			  int64_t at_us)
{
	struct action *a = g_new0(struct action, 1);

	a->kind = kind;
	a->node = node;
	a->at_us = at_us;
	a->again_ms = NEVER_MS;
	g_ptr_array_add(s->actions, a);
	return a;
}

static struct action *add_signal(struct schedule *s, int node, int number,
				 int64_t at_us)
{
	struct action *a = add(s, ACTION_SIGNAL, node, at_us);

	a->signal = number;
	return a;
}

/* ---- drawing ---- */

static int draw_repeat_ms(struct schedule *s)
{
	switch (draw(s, 0, 3)) {
	case 0:
		return 0;
	case 1:
		return draw(s, 1, 200);
	default:
		return draw(s, 500, 6000);
	}
}

static void draw_repeats(struct schedule *s, int node, int64_t at_us)
{
	int repeats = chance(s, 50) ? draw(s, 1, 3) : 0;

	for (int i = 0; i < repeats; i++) {
		int number = chance(s, 70) ? SIGTERM : SIGINT;
		int after_ms = draw_repeat_ms(s);

		add_signal(s, node, number, at_us + after_ms * 1000);
	}
}

static void draw_stop(struct schedule *s, int node, int64_t at_us)
{
	int number = chance(s, 85) ? SIGTERM : SIGINT;
	struct action *first;

	if (chance(s, 30))
		add(s, ACTION_EDIT_SETTINGS, node,
		    at_us + draw(s, -2500, 2500) * 1000);
	if (chance(s, 30))
		add_signal(s, node, SIGHUP,
			   at_us + (chance(s, 30) ? 0 : draw(s, -500, 500)) *
					   1000);
	first = add_signal(s, node, number, at_us);
	first->first = true;
	first->restart_ms = draw(s, 100, 1500);
	if (chance(s, 30))
		first->again_ms = draw(s, 0, 4000);
	draw_repeats(s, node, at_us);
}

static int draw_entry(struct schedule *s)
{
	return s->soak->opts.rig->first_entry - 1 + draw(s, 1, SOAK_ENTRIES);
}

static int next_entry(const struct schedule *s, int node)
{
	int first = s->soak->opts.rig->first_entry;

	return first + (node - first + 1) % SOAK_ENTRIES;
}

/* Returns the time of the last of the stops. */
static int draw_series(struct schedule *s, int at_ms)
{
	int node = draw_entry(s);
	int type = draw(s, 0, 99);
	int stops = type < 35 ? 1 : draw(s, 2, type < 60 ? 3 : SOAK_ENTRIES);
	bool at_once = type < 60;

	for (int i = 0; i < stops; i++) {
		if (i && !at_once)
			at_ms += draw(s, 0, 3000);
		draw_stop(s, node, s->soak->began_us + at_ms * 1000);
		node = next_entry(s, node);
	}
	return at_ms;
}

static void draw_changes(struct schedule *s)
{
	int duration_ms = s->soak->opts.duration_ms;

	for (int ms = CHANGE_INTERVAL_MS; ms < duration_ms;
	     ms += CHANGE_INTERVAL_MS)
		if (chance(s, 50))
			add(s, ACTION_CHANGE, draw_entry(s),
			    s->soak->began_us + (ms - draw(s, 0, 3000)) * 1000);
}

/* Stops of the VMs that are control only, one after the other. */
static void draw_control_stops(struct schedule *s)
{
	int vms = s->soak->opts.rig->first_entry - 1;
	int at_ms = draw(s, 0, CONTROL_STOP_MAX_MS);

	while (at_ms < s->soak->opts.duration_ms) {
		draw_stop(s, draw(s, 1, vms), s->soak->began_us + at_ms * 1000);
		at_ms += draw(s, CONTROL_STOP_MIN_MS, CONTROL_STOP_MAX_MS);
	}
}

struct schedule *schedule_create(struct soak *soak)
{
	struct schedule *s = g_new0(struct schedule, 1);
	int at_ms = FIRST_SERIES_MS;

	s->soak = soak;
	s->random = g_rand_new_with_seed(soak->opts.seed);
	s->actions = g_ptr_array_new_with_free_func(g_free);
	for (int node = 1; node <= soak->opts.rig->nodes; node++)
		s->plan[node] = (struct action){
			.restart_ms = DEFAULT_RESTART_MS,
			.again_ms = NEVER_MS,
		};
	if (soak->opts.rig == &platform_rig && !soak->opts.platform.stops)
		return s;
	draw_changes(s);
	while (at_ms < soak->opts.duration_ms)
		at_ms = draw_series(s, at_ms) + draw(s, 1000, 5000);
	if (soak->opts.platform.control_stops && chance(s, 50))
		draw_control_stops(s);
	return s;
}

/* ---- running ---- */

static void restart(struct schedule *s, int node)
{
	struct action *plan = &s->plan[node];

	s->restart_pending[node] = false;
	cluster_start_node(s->soak->cluster, node);
	processes_add(s->soak, node);
	if (plan->again_ms != NEVER_MS)
		add_signal(s, node, SIGTERM,
			   soak_now_us() + plan->again_ms * 1000)
			->first = true;
	plan->again_ms = NEVER_MS;
}

static void send_signal(struct schedule *s, const struct action *a)
{
	const struct process *p = s->soak->current[a->node];

	if (p && a->first && !process_stop_us(p)) {
		s->plan[a->node].restart_ms = a->restart_ms
						      ? a->restart_ms
						      : DEFAULT_RESTART_MS;
		s->plan[a->node].again_ms = a->again_ms;
	}
	processes_signal(s->soak, a->node, a->signal);
}

static void edit_settings(struct schedule *s, int node)
{
	const char *path = s->soak->cluster->nodes[node - 1].settings;
	char *text = NULL;
	char *edited;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		cluster_fail("%s: cannot be read", path);
	edited = g_strconcat(text, "# edited\n", NULL);
	if (!g_file_set_contents(path, edited, -1, NULL))
		cluster_fail("%s: cannot be written", path);
	g_free(edited);
	g_free(text);
}

/** A change by an operator, on a thread of its own. */
struct change {
	struct soak *soak;
	gint *changing;
	int node;
	int number;
};

static void *make_change(void *arg)
{
	struct change *change = arg;

	change->soak->opts.rig->change(change->soak, change->node,
				       change->number);
	g_atomic_int_set(change->changing, 0);
	g_free(change);
	return NULL;
}

static void join_operator(struct schedule *s)
{
	if (s->operator)
		g_thread_join(s->operator);
	s->operator= NULL;
}

/* Drops a change while another goes on: signals and reaping must not wait. */
static void start_change(struct schedule *s, int node)
{
	struct change *change;

	if (g_atomic_int_get(&s->changing))
		return;
	join_operator(s);
	g_atomic_int_set(&s->changing, 1);
	change = g_new0(struct change, 1);
	change->soak = s->soak;
	change->changing = &s->changing;
	change->node = node;
	change->number = ++s->changes;
	s->operator= g_thread_new("operator", make_change, change);
}

static void run_action(struct schedule *s, const struct action *a)
{
	switch (a->kind) {
	case ACTION_SIGNAL:
		send_signal(s, a);
		break;
	case ACTION_EDIT_SETTINGS:
		edit_settings(s, a->node);
		break;
	case ACTION_RESTART:
		restart(s, a->node);
		break;
	case ACTION_CHANGE:
		start_change(s, a->node);
		break;
	}
}

static void plan_restarts(struct schedule *s)
{
	for (int node = 1; node <= s->soak->opts.rig->nodes; node++) {
		if (s->soak->current[node] || s->restart_pending[node])
			continue;
		add(s, ACTION_RESTART, node,
		    soak_now_us() + s->plan[node].restart_ms * 1000);
		s->restart_pending[node] = true;
	}
}

static struct action *take_next_due(struct schedule *s)
{
	int64_t now = soak_now_us();
	guint next = s->actions->len;

	for (guint i = 0; i < s->actions->len; i++) {
		const struct action *a = s->actions->pdata[i];

		if (a->at_us > now)
			continue;
		if (next == s->actions->len ||
		    a->at_us <
			    ((struct action *)s->actions->pdata[next])->at_us)
			next = i;
	}
	return next == s->actions->len
		       ? NULL
		       : g_ptr_array_steal_index(s->actions, next);
}

void schedule_run_due(struct schedule *s)
{
	struct action *a;

	plan_restarts(s);
	while ((a = take_next_due(s))) {
		run_action(s, a);
		g_free(a);
	}
}

void schedule_free(struct schedule *s)
{
	join_operator(s);
	g_ptr_array_unref(s->actions);
	g_rand_free(s->random);
	g_free(s);
}
