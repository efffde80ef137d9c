#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "control/group.h"
#include "test/memory_fs.h"
#include "test/torture.h"
#include "wire/codec.h"

#define MEMBERS 4
#define VOTERS 3
#define STEP_US 5000
#define SCHEDULE_MS 12000
#define SETTLE_MS 20000
#define DRIFT_PERMILLE 50
#define SERVICE "torture"
#define OPERATORS 3
#define KEEP_ENTRIES 8
#define CALM_US 1500000

struct world;

/** One VM: its disk, its clock and, while it runs, its group. */
struct vm {
	struct world *world;
	uint32_t node;
	struct memory_fs *fs;
	struct group *group; /* NULL while down */
	struct daemon_settings settings;
	struct counters *counters;
	struct clock_source clock;
	int rate_permille; /* of its clock, against true time */
	int64_t offset_us;
	int64_t paused_until_us, down_until_us;
	bool want_turn;
	bool voted;  /* a vote went out in this turn */
	bool broken; /* its storage failed: it must stop */
};

/** A message on its way. */
struct letter {
	int64_t due_us;
	uint32_t from, to;
	GBytes *bytes;
};

/** A change an operator is making. */
struct change {
	struct operator* owner;
	uint32_t number;
};

struct operator
{
	struct world *world;
	uint32_t id;
	uint32_t next; /* number of the change being made */
	bool waiting;
	int64_t retry_us;
	char change_id[32];
	uint64_t base;
	bool rolled; /* the change id is chosen */
};

struct world {
	GRand *random;
	int64_t now_us;
	struct vm vms[MEMBERS];
	struct operator operators[OPERATORS];
	GPtrArray *letters;
	bool cut[MEMBERS][MEMBERS]; /* from, to */
	GHashTable *committed;	    /* index -> hash of term and data */
	GHashTable *leaders;	    /* term -> member id */
	GHashTable *acknowledged;   /* change id -> revision */
	uint64_t highest_index;
	int delay_us;	       /* longest ordinary delay of a message */
	int gap_us;	       /* longest pause of an operator */
	double vote_crash;     /* chance of a crash right after a vote */
	int64_t calm_until_us; /* no other fault, no change till then */
	bool quiet;	       /* no more faults */
	struct torture_result *result;
};

static void found(struct world *w, const char *fmt, ...) G_GNUC_PRINTF(2, 3);

static void found(struct world *w, const char *fmt, ...)
{
	va_list ap;

	if (w->result->fault)
		return;
	va_start(ap, fmt);
	w->result->fault = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static bool chance(struct world *w, double p)
{
	return g_rand_double(w->random) < p;
}

static int64_t vm_now_us(void *ctx)
{
	const struct vm *vm = ctx;

	return vm->offset_us + vm->world->now_us * vm->rate_permille / 1000;
}

/* ---- the group's outputs ---- */

static bool is_granted_vote(GBytes *bytes)
{
	struct raft_message message = { 0 };
	bool granted = CODEC_DECODE(raft_message, bytes, &message) &&
		       message.kind == RAFT_VOTE_REPLY && message.granted;

	CODEC_FREE(raft_message, &message);
	return granted;
}

static void on_send(void *ctx, uint64_t member, GBytes *bytes)
{
	struct vm *vm = ctx;
	struct world *w = vm->world;
	uint32_t to = group_node_of(vm->group, member);
	struct letter *letter;
	int copies = !w->quiet && chance(w, 0.02) ? 2 : 1;

	if (is_granted_vote(bytes))
		vm->voted = true;
	/* What a crash stopped short of the disk is never sent either. */
	if (!to || memory_fs_failed(vm->fs))
		return;
	if (!w->quiet && chance(w, 0.03))
		return;
	while (copies--) {
		letter = g_new(struct letter, 1);
		letter->from = vm->node;
		letter->to = to;
		letter->bytes = g_bytes_ref(bytes);
		letter->due_us = w->now_us +
				 g_rand_int_range(w->random, 500, w->delay_us);
		if (!w->quiet && chance(w, 0.02))
			letter->due_us += g_rand_int_range(w->random, 0,
							   2000000);
		g_ptr_array_add(w->letters, letter);
	}
}

static void on_applied(void *ctx, const struct group_applied *applied)
{
	struct vm *vm = ctx;
	struct world *w = vm->world;
	GBytes *bytes = CODEC_ENCODE(command, applied->command);
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	uint64_t hash = XXH64(data, size, 0);
	uint64_t *known = g_hash_table_lookup(w->committed, &applied->index);

	g_bytes_unref(bytes);
	if (known && *known != hash)
		found(w, "node %u applied another command at %" PRIu64,
		      vm->node, applied->index);
	if (known)
		return;
	w->highest_index = MAX(w->highest_index, applied->index);
	g_hash_table_insert(w->committed,
			    g_memdup2(&applied->index, sizeof(applied->index)),
			    g_memdup2(&hash, sizeof(hash)));
}

static void on_replaced(void *ctx)
{
	struct vm *vm = ctx;

	vm->world->result->snapshots++;
}

static void on_changed(void *ctx)
{
	struct vm *vm = ctx;
	const struct raft *raft = vm->group ? group_raft(vm->group) : NULL;
	uint64_t term, id;
	uint64_t *known;

	if (!raft || raft_role(raft) != RAFT_LEADER)
		return;
	term = raft_term(raft);
	id = group_member_id(vm->group);
	known = g_hash_table_lookup(vm->world->leaders, &term);
	if (known && *known != id)
		found(vm->world, "two leaders in term %" PRIu64, term);
	if (known)
		return;
	vm->world->result->terms++;
	g_hash_table_insert(vm->world->leaders, g_memdup2(&term, sizeof(term)),
			    g_memdup2(&id, sizeof(id)));
}

static void on_want_turn(void *ctx)
{
	struct vm *vm = ctx;

	vm->want_turn = true;
}

static void on_failed(void *ctx, enum rd_result code, const char *why)
{
	struct vm *vm = ctx;

	(void)why;
	vm->broken = true;
	if (!memory_fs_failed(vm->fs))
		found(vm->world, "node %u: storage failed with %d unasked",
		      vm->node, code);
}

/* ---- VMs ---- */

static void make_settings(struct vm *vm)
{
	struct daemon_settings *s = &vm->settings;
	static const char *const centres[] = { "a", "b", "c", "a" };

	s->node.id = vm->node;
	s->node.data_centre = (char *)centres[vm->node - 1];
	s->cluster.name = (char *)"torture";
	s->cluster.election_ms = 300;
	s->cluster.heartbeat_ms = 50;
	s->cluster.drift_permille = DRIFT_PERMILLE;
	s->limits.segment_bytes = 16384;
	s->limits.snapshot_entries = 40;
	s->cluster.peers = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 1; i <= MEMBERS; i++) {
		struct peer_settings *p = g_new0(struct peer_settings, 1);

		p->id = i;
		p->data_centre = (char *)centres[i - 1];
		p->address = (char *)"127.0.0.1:1";
		p->voter = i <= VOTERS;
		p->control = true;
		g_ptr_array_add(s->cluster.peers, p);
	}
}

static void vm_start(struct vm *vm, bool bootstrap)
{
	struct world *w = vm->world;
	enum rd_result code = RD_OK;
	char *why = NULL;
	struct group_opts opts = {
		.fs = memory_fs_driver(vm->fs),
		.clock = &vm->clock,
		.settings = &vm->settings,
		.counters = vm->counters,
		.events = { on_send, on_applied, on_replaced, on_changed,
			    on_want_turn, on_failed, vm },
		.bootstrap = bootstrap,
		.seed = g_rand_int(w->random),
		.new_member = g_rand_int(w->random),
		/* Few, so that members behind need snapshots. */
		.keep_entries = KEEP_ENTRIES,
	};

	vm->broken = false;
	vm->group = group_create(&opts, &code, &why);
	if (!vm->group && !memory_fs_failed(vm->fs))
		found(w, "node %u does not start: %d %s", vm->node, code,
		      why ? why : "");
	g_free(why);
}

static void vm_crash(struct vm *vm)
{
	group_destroy(vm->group);
	vm->group = NULL;
	memory_fs_crash(vm->fs);
	vm->world->result->crashes++;
	vm->down_until_us = vm->world->now_us +
			    g_rand_int_range(vm->world->random, 10000, 3000000);
}

static bool vm_runs(const struct vm *vm)
{
	return vm->group && vm->world->now_us >= vm->paused_until_us;
}

/* ---- operators ---- */

/* What an operator learnt; the result is checked when all is quiet. */
static void on_change_done(void *ctx, enum rd_result code,
			   const struct apply_result *result)
{
	struct change *change = ctx;
	struct operator* o = change->owner;
	struct world *w = o->world;

	if (change->number != o->next || !o->waiting)
		goto done; /* the answer came too late to be of use */
	o->waiting = false;
	o->retry_us = w->now_us + g_rand_int_range(w->random, 1000, w->gap_us);
	if (code == RD_CHANGE_UNKNOWN || code == RD_NOT_LEADER ||
	    code == RD_OVERLOADED || code == RD_IO)
		goto done; /* the same change id is sent again */
	/* Sometimes the answer is lost, and the change sent again. */
	if (!w->quiet && chance(w, 0.2))
		goto done;
	if (result->code == RD_OK) {
		uint64_t *known = g_hash_table_lookup(w->acknowledged,
						      o->change_id);

		if (known && *known != result->revision)
			found(w,
			      "change %s got revisions %" PRIu64 " and "
			      "%" PRIu64,
			      o->change_id, *known, result->revision);
		if (!known) {
			g_hash_table_insert(
				w->acknowledged, g_strdup(o->change_id),
				g_memdup2(&result->revision,
					  sizeof(result->revision)));
			w->result->acknowledged++;
		}
	}
	o->next++;
	o->rolled = false;
	o->base = result->revision;
done:
	g_free(change);
}

static GBytes *encode_change(struct operator* o)
{
	struct preset_spec presets[2] = {
		{ (char *)"ordinary", 1, (char *)"1", TRUE },
		{ (char *)"peak", 2, (char *)"1", TRUE },
	};
	struct command command = {
		.change_id = o->change_id,
		.operator_name = (char *)"torture",
		.base_revision = o->base,
	};
	struct apply_service *apply = &command.body.command_body_u.apply;

	if (o->base) {
		command.body.kind = CMD_SWITCH_PRESET;
		command.body.command_body_u.preset.service = (char *)SERVICE;
		command.body.command_body_u.preset.preset =
			(char *)(o->next % 2 ? "peak" : "ordinary");
		return CODEC_ENCODE(command, &command);
	}
	command.body.kind = CMD_APPLY_SERVICE;
	apply->spec.name = (char *)SERVICE;
	apply->spec.pool = (char *)"";
	apply->spec.model = (char *)"m";
	apply->spec.adapter = (char *)"";
	apply->spec.vms_per_replica = 1;
	apply->spec.slots_per_replica = 1;
	apply->spec.presets.presets_len = 2;
	apply->spec.presets.presets_val = presets;
	apply->preset = (char *)"ordinary";
	apply->text = (char *)"";
	return CODEC_ENCODE(command, &command);
}

static struct vm *some_leader(struct world *w)
{
	int start = g_rand_int_range(w->random, 0, MEMBERS);

	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &w->vms[(start + i) % MEMBERS];

		if (vm_runs(vm) &&
		    raft_role(group_raft(vm->group)) == RAFT_LEADER)
			return vm;
	}
	return NULL;
}

static void operate(struct operator* o)
{
	struct world *w = o->world;
	struct vm *vm;
	struct change *change;
	GBytes *bytes;

	/* One that waits too long gives up waiting, not the change. */
	if (o->waiting && w->now_us > o->retry_us + 6000000)
		o->waiting = false;
	if (o->waiting || w->now_us < o->retry_us ||
	    w->now_us < w->calm_until_us)
		return;
	vm = some_leader(w);
	if (!vm)
		return;
	if (!o->rolled)
		g_snprintf(o->change_id, sizeof(o->change_id), "op%u-%u", o->id,
			   o->next);
	o->rolled = true;
	change = g_new(struct change, 1);
	change->owner = o;
	change->number = o->next;
	o->waiting = true;
	o->retry_us = w->now_us;
	bytes = encode_change(o);
	group_propose(vm->group, bytes, on_change_done, change);
	g_bytes_unref(bytes);
}

/* ---- faults ---- */

static void cut_some(struct world *w)
{
	bool one_way = chance(w, 0.4);

	memset(w->cut, 0, sizeof(w->cut));
	for (int i = 0; i < MEMBERS; i++)
		for (int j = 0; j < i; j++) {
			if (!chance(w, 0.35))
				continue;
			w->cut[i][j] = true;
			w->cut[j][i] = !one_way;
		}
	w->result->cuts++;
}

/* Only the leader and one other lose each other, while no change is made. */
static void cut_leader(struct world *w)
{
	const struct vm *leader = some_leader(w);
	int other = g_rand_int_range(w->random, 0, MEMBERS);

	if (!leader || leader == &w->vms[other])
		return;
	memset(w->cut, 0, sizeof(w->cut));
	w->cut[leader->node - 1][other] = true;
	w->cut[other][leader->node - 1] = true;
	w->calm_until_us = w->now_us + CALM_US;
	w->result->cuts++;
}

static u_int voter_count(const struct member_config *config)
{
	u_int n = 0;

	for (u_int i = 0; i < config->members.members_len; i++)
		n += config->members.members_val[i].voter ? 1 : 0;
	return n;
}

static bool voters_present(const struct world *w,
			   const struct member_config *config);

static void change_membership(struct world *w)
{
	struct vm *vm = some_leader(w);
	struct member_config config = { { 0 } };
	struct member *m;

	if (!vm || !CODEC_COPY(member_config,
			       raft_config(group_raft(vm->group)), &config))
		return;
	m = &config.members.members_val[g_rand_int_range(
		w->random, 0, (gint)config.members.members_len)];
	m->voter = !m->voter;
	/* Operators are refused this while a voter is lost. */
	if (voters_present(w, &config) &&
	    group_propose_config(vm->group, &config) == RD_OK)
		w->result->memberships++;
	CODEC_FREE(member_config, &config);
}

static void drop_member(struct member_config *config, u_int at)
{
	struct member *all = config->members.members_val;

	free(all[at].address);
	free(all[at].data_centre);
	memmove(&all[at], &all[at + 1],
		(config->members.members_len - at - 1) * sizeof(*all));
	config->members.members_len--;
}

static void add_member(struct member_config *config, const struct vm *vm)
{
	u_int n = config->members.members_len++;
	struct member *m;

	config->members.members_val = realloc(config->members.members_val,
					      (n + 1) * sizeof(struct member));
	m = &config->members.members_val[n];
	memset(m, 0, sizeof(*m));
	m->id = group_member_id(vm->group);
	m->node = vm->node;
	m->address = strdup("127.0.0.1:1");
	m->data_centre = strdup("a");
}

static int find_member(const struct member_config *config, uint64_t id,
		       uint32_t node)
{
	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];

		if (id ? m->id == id : m->node == node)
			return (int)i;
	}
	return -1;
}

/* A newcomer joins as a learner; this is what control/members.c does. */
static void take_in(struct world *w)
{
	struct vm *leader = some_leader(w);

	for (int i = 0; leader && i < MEMBERS; i++) {
		struct vm *vm = &w->vms[i];
		struct member_config config = { { 0 } };
		int old;

		if (!vm->group ||
		    !CODEC_COPY(member_config,
				raft_config(group_raft(leader->group)),
				&config))
			continue;
		if (find_member(&config, group_member_id(vm->group), 0) < 0) {
			old = find_member(&config, 0, vm->node);
			if (old >= 0)
				drop_member(&config, (u_int)old);
			else
				add_member(&config, vm);
			(void)group_propose_config(leader->group, &config);
		}
		CODEC_FREE(member_config, &config);
	}
}

static bool same_config(const struct member_config *a,
			const struct member_config *b)
{
	GBytes *x = CODEC_ENCODE(member_config, a);
	GBytes *y = CODEC_ENCODE(member_config, b);
	bool same = g_bytes_equal(x, y);

	g_bytes_unref(x);
	g_bytes_unref(y);
	return same;
}

/* Whether each voter of a configuration still has its disk. */
static bool voters_present(const struct world *w,
			   const struct member_config *config)
{
	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		const struct vm *vm = &w->vms[m->node - 1];

		if (m->voter &&
		    (!vm->group || group_member_id(vm->group) != m->id))
			return false;
	}
	return true;
}

/*
 * Losing a disk is survived while three vote, all of them hold what is
 * committed, and no membership change is under way.
 */
static bool may_wipe(struct world *w)
{
	const struct vm *leader = some_leader(w);
	const struct member_config *config;
	uint64_t commit;

	if (!leader || !group_is_ready_leader(leader->group))
		return false;
	config = raft_config(group_raft(leader->group));
	commit = raft_commit_index(group_raft(leader->group));
	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &w->vms[i];

		if (!vm->group ||
		    raft_applied_index(group_raft(vm->group)) < commit ||
		    !same_config(config, raft_config(group_raft(vm->group))))
			return false;
	}
	return config->members.members_len == MEMBERS &&
	       same_config(config,
			   raft_config_at(group_raft(leader->group), commit)) &&
	       voters_present(w, config) && voter_count(config) >= VOTERS;
}

static void wipe(struct vm *vm)
{
	group_destroy(vm->group);
	vm->group = NULL;
	memory_fs_wipe(vm->fs);
	vm->world->result->wipes++;
	vm->down_until_us = vm->world->now_us + 100000;
}

static void inject(struct world *w)
{
	struct vm *vm = &w->vms[g_rand_int_range(w->random, 0, MEMBERS)];

	if (w->now_us < w->calm_until_us)
		return;
	if (chance(w, 0.001))
		cut_leader(w);
	if (chance(w, 0.004) && vm->group)
		vm_crash(vm);
	if (chance(w, 0.004) && vm->group && !memory_fs_failed(vm->fs))
		memory_fs_fail_after(vm->fs, g_rand_int_range(w->random, 1, 30),
				     chance(w, 0.5) ? EIO : ENOSPC);
	if (chance(w, 0.004)) {
		vm->paused_until_us =
			w->now_us + g_rand_int_range(w->random, 50000, 2500000);
		w->result->pauses++;
	}
	if (chance(w, 0.004))
		cut_some(w);
	if (chance(w, 0.004))
		memset(w->cut, 0, sizeof(w->cut));
	if (chance(w, 0.003))
		change_membership(w);
	if (chance(w, 0.002)) {
		struct vm *leader = some_leader(w);

		if (leader) {
			group_transfer_leadership(leader->group);
			w->result->transfers++;
		}
	}
	if (chance(w, 0.01))
		take_in(w);
	if (chance(w, 0.01) && vm->group && may_wipe(w))
		wipe(vm);
}

/* ---- stepping ---- */

static void check_leases(struct world *w)
{
	int holders = 0;

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &w->vms[i];

		/* One that is paused reads its clock before it acts. */
		if (vm_runs(vm) && !vm->broken &&
		    raft_lease_valid(group_raft(vm->group),
				     vm_now_us((void *)vm) / 1000))
			holders++;
	}
	if (holders > 1)
		found(w, "%d leases at once", holders);
}

static void deliver(struct world *w)
{
	for (guint i = 0; i < w->letters->len;) {
		struct letter *letter = w->letters->pdata[i];
		struct vm *to = &w->vms[letter->to - 1];
		bool lost = w->cut[letter->from - 1][letter->to - 1];
		gsize size;
		const void *data;

		if (letter->due_us > w->now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(w->letters, i);
		data = g_bytes_get_data(letter->bytes, &size);
		/* A paused VM finds its mail when it goes on. */
		if (to->group && !lost && !vm_runs(to)) {
			letter->due_us = to->paused_until_us;
			g_ptr_array_add(w->letters, letter);
			continue;
		}
		if (to->group && !lost && !to->broken &&
		    !group_receive(to->group, letter->from, data, size))
			found(w, "a message cannot be decoded");
		g_bytes_unref(letter->bytes);
		g_free(letter);
	}
}

static void step_vm(struct vm *vm)
{
	struct world *w = vm->world;

	if (!vm->group) {
		if (w->now_us >= vm->down_until_us)
			vm_start(vm, false);
		if (vm->group)
			return;
		/* A start that failed on a bad disk is tried again. */
		if (memory_fs_failed(vm->fs))
			memory_fs_crash(vm->fs);
		return;
	}
	if (!vm_runs(vm))
		return;
	do {
		vm->want_turn = false;
		group_process(vm->group);
	} while (vm->want_turn && !vm->broken);
	if (vm->broken) {
		vm_crash(vm);
		return;
	}
	/* A vote forgotten here would be given twice. */
	if (vm->voted && !w->quiet && chance(w, w->vote_crash)) {
		vm_crash(vm);
		vm->down_until_us = w->now_us;
	}
	vm->voted = false;
}

static void step(struct world *w)
{
	w->now_us += STEP_US;
	if (!w->quiet)
		inject(w);
	deliver(w);
	for (int i = 0; i < MEMBERS && !w->result->fault; i++)
		step_vm(&w->vms[i]);
	for (int i = 0; i < OPERATORS && !w->result->fault; i++)
		operate(&w->operators[i]);
	check_leases(w);
}

/* ---- the end ---- */

static bool settled(struct world *w)
{
	uint64_t commit = 0;

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &w->vms[i];

		if (!vm->group)
			return false;
		if (group_is_ready_leader(vm->group))
			commit = raft_commit_index(group_raft(vm->group));
	}
	if (!commit || commit < w->highest_index)
		return false;
	for (int i = 0; i < OPERATORS; i++)
		if (w->operators[i].waiting)
			return false;
	for (int i = 0; i < MEMBERS; i++)
		if (raft_applied_index(group_raft(w->vms[i].group)) != commit)
			return false;
	return true;
}

static void check_history(struct world *w, const struct vm *vm)
{
	const struct service_state *s = state_service(group_state(vm->group),
						      SERVICE);
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	gpointer key, value;
	u_int n = s ? s->history.history_len : 0;
	uint64_t oldest = n ? s->history.history_val[0].revision : 0;

	for (u_int i = 0; i < n; i++) {
		const struct revision_record *r = &s->history.history_val[i];

		if (!g_hash_table_insert(seen, r->change_id, (gpointer)r))
			found(w, "change %s applied twice", r->change_id);
		if (i &&
		    r->revision != s->history.history_val[i - 1].revision + 1)
			found(w, "revision %" PRIu64 " out of order",
			      r->revision);
	}
	g_hash_table_iter_init(&iter, w->acknowledged);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t revision = *(uint64_t *)value;
		const struct revision_record *r = g_hash_table_lookup(seen,
								      key);

		if (revision >= oldest && (!r || r->revision != revision))
			found(w, "acknowledged change %s is missing",
			      (char *)key);
	}
	g_hash_table_unref(seen);
}

static void check_states(struct world *w)
{
	GBytes *first = state_save(group_state(w->vms[0].group), true);

	for (int i = 1; i < MEMBERS; i++) {
		GBytes *other = state_save(group_state(w->vms[i].group), true);

		if (!g_bytes_equal(first, other))
			found(w, "states of nodes 1 and %d differ", i + 1);
		g_bytes_unref(other);
	}
	g_bytes_unref(first);
	check_history(w, &w->vms[0]);
}

/* A network in which a leader can hold its ground. */
static const int delays_us_settled = 8000;

static void quieten(struct world *w)
{
	w->quiet = true;
	w->delay_us = delays_us_settled;
	memset(w->cut, 0, sizeof(w->cut));
	for (int i = 0; i < MEMBERS; i++) {
		w->vms[i].paused_until_us = 0;
		w->vms[i].down_until_us = 0;
		memory_fs_fail_after(w->vms[i].fs, 0, 0);
	}
	/* Operators finish what they began, and begin nothing more. */
}

/* Where everybody stands, for whoever looks into a fault. */
static char *describe(struct world *w)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &w->vms[i];
		const struct raft *raft = vm->group ? group_raft(vm->group)
						    : NULL;
		const struct member_config *config = raft ? raft_config(raft)
							  : NULL;

		g_string_append_printf(text, "; node %u", vm->node);
		if (!raft) {
			g_string_append(text, " down");
			continue;
		}
		g_string_append_printf(text,
				       " role %d term %" PRIu64
				       " commit %" PRIu64 " applied %" PRIu64
				       " last %" PRIu64 " members",
				       raft_role(raft), raft_term(raft),
				       raft_commit_index(raft),
				       raft_applied_index(raft),
				       raft_last_index(raft));
		for (u_int j = 0; j < config->members.members_len; j++)
			g_string_append_printf(
				text, " %u%s",
				config->members.members_val[j].node,
				config->members.members_val[j].voter ? "v"
								     : "l");
	}
	return g_string_free(text, FALSE);
}

static void settle(struct world *w)
{
	char *where;

	int64_t until = w->now_us + (int64_t)SETTLE_MS * 1000;
	int64_t stop = w->now_us + (int64_t)SETTLE_MS * 500;

	quieten(w);
	while (w->now_us < until && !w->result->fault) {
		w->now_us += STEP_US;
		deliver(w);
		for (int i = 0; i < MEMBERS; i++)
			step_vm(&w->vms[i]);
		for (int i = 0; i < OPERATORS && w->now_us < stop; i++)
			operate(&w->operators[i]);
		take_in(w);
		check_leases(w);
		if (w->now_us > stop && settled(w)) {
			check_states(w);
			return;
		}
	}
	where = describe(w);
	found(w, "not settled %d ms after the last fault%s", SETTLE_MS, where);
	g_free(where);
}

/* ---- one schedule ---- */

static void world_init(struct world *w, uint32_t seed,
		       struct torture_result *result)
{
	static const int delays_us[] = { 8000, 60000, 250000 };
	static const int gaps_us[] = { 20000, 200000, 3000000 };

	memset(w, 0, sizeof(*w));
	w->random = g_rand_new_with_seed(seed);
	w->delay_us = delays_us[g_rand_int_range(w->random, 0, 3)];
	w->gap_us = gaps_us[g_rand_int_range(w->random, 0, 3)];
	w->vote_crash = chance(w, 0.5) ? 0.3 : 0;
	w->now_us = 1000000;
	w->letters = g_ptr_array_new();
	w->committed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	w->leaders = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					   g_free);
	w->acknowledged = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
						g_free);
	w->result = result;
	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &w->vms[i];

		vm->world = w;
		vm->node = (uint32_t)i + 1;
		vm->fs = memory_fs_create(g_rand_int(w->random));
		vm->counters = counters_create();
		vm->rate_permille = 1000 + g_rand_int_range(w->random,
							    -DRIFT_PERMILLE / 2,
							    DRIFT_PERMILLE / 2);
		vm->offset_us = g_rand_int_range(w->random, 0, 1000000000);
		vm->clock = (struct clock_source){ vm_now_us, vm };
		make_settings(vm);
		vm_start(vm, i < VOTERS);
	}
	for (uint32_t i = 0; i < OPERATORS; i++) {
		w->operators[i].world = w;
		w->operators[i].id = i;
	}
}

static void world_clear(struct world *w)
{
	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &w->vms[i];

		group_destroy(vm->group);
		vm->group = NULL;
		memory_fs_destroy(vm->fs);
		counters_destroy(vm->counters);
		g_ptr_array_unref(vm->settings.cluster.peers);
	}
	for (guint i = 0; i < w->letters->len; i++) {
		struct letter *letter = w->letters->pdata[i];

		g_bytes_unref(letter->bytes);
		g_free(letter);
	}
	g_ptr_array_unref(w->letters);
	g_hash_table_unref(w->committed);
	g_hash_table_unref(w->leaders);
	g_hash_table_unref(w->acknowledged);
	g_rand_free(w->random);
}

void torture_run(uint32_t seed, struct torture_result *result)
{
	struct world w;

	memset(result, 0, sizeof(*result));
	world_init(&w, seed, result);
	while (w.now_us < (int64_t)SCHEDULE_MS * 1000 && !result->fault)
		step(&w);
	if (!result->fault)
		settle(&w);
	world_clear(&w);
}
