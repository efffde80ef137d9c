#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "consensus/membership.h"
#include "control/group.h"
#include "test/memory_fs.h"
#include "test/torture.h"
#include "wire/codec.h"

#define MEMBERS 4
#define VOTERS 3
#define STEP_US 5000
#define SCHEDULE_MS 12000
#define CONVERGE_MS 20000
#define ELECTION_MS 300
/*
 * Time for a ready leader after the final fault: recoverS of the users' pages,
 * 12 s, in election timeouts of deploy/control.toml.in.
 */
#define RECOVER_MS (24 * ELECTION_MS)
/* Wait for an acknowledgement, right after which the final fault occurs. */
#define FINAL_ACK_MS 3000
#define FINAL_DOWN_MS 1000
/* Silence of a voter that is lost. */
#define REPLACE_AFTER_MS 2500
/* Silence of a learner that is removed. */
#define FORGET_AFTER_MS 5000
/* More than the operations of a job that syncs entries. */
#define KILL_OPERATIONS 5
#define DRIFT_PERMILLE 50
#define SERVICE "torture"
#define OPERATORS 3
#define KEEP_ENTRIES 8
#define LEADER_CUT_US 1500000

struct simulation;

/** A VM: its disk, its clock and, while it runs, its group member. */
struct vm {
	struct simulation *simulation;
	uint32_t node;
	struct memory_fs *fs;
	struct group *group; /* NULL while down */
	struct daemon_settings settings;
	struct counters *counters;
	struct clock_source clock;
	int rate_permille; /* of its clock, relative to simulated time */
	int64_t offset_us;
	int64_t paused_until_us, down_until_us;
	bool wakeup;	/* group_process() is due */
	bool job_begun; /* a job of the group waits for the disk */
	int64_t job_due_us;
	bool vote_sent;	     /* a vote was sent in this step */
	bool storage_failed; /* its storage failed; it must stop */
};

/** A message in transit. */
struct packet {
	int64_t due_us;
	uint32_t from, to;
	GBytes *bytes;
};

/** A proposal of an operator, to match its result with the current change. */
struct change {
	struct operator* owner;
	uint32_t number;
};

struct operator
{
	struct simulation *simulation;
	uint32_t id;
	uint32_t change_number; /* the one in progress, or the next to make */
	bool waiting;
	int64_t retry_us;
	char change_id[32];
	uint64_t last_revision;
	bool change_id_set; /* the current change has its id */
};

struct simulation {
	GRand *random;
	enum torture_disk disk;
	GRand *disk_random; /* apart, so that both kinds have one schedule */
	enum torture_crash crash;
	GRand *kill_random; /* likewise */
	int64_t now_us;
	struct vm vms[MEMBERS];
	struct operator operators[OPERATORS];
	GPtrArray *packets;
	bool link_down[MEMBERS][MEMBERS]; /* [from][to]: messages are lost */
	GHashTable *committed;		  /* index -> hash of the command */
	GHashTable *leaders;		  /* term -> member id */
	GHashTable *acknowledged;	  /* change id -> revision */
	uint64_t highest_applied;	  /* applied by any member */
	int max_delay_us;	  /* upper limit of a message's usual delay */
	int max_gap_us;		  /* upper limit of the time between changes */
	double vote_crash_chance; /* of a crash right after a vote */
	int64_t no_faults_until_us; /* no new faults or changes until then */
	int64_t recover_until_us;   /* a leader is due until then; 0: not */
	bool faults_stopped;	    /* no more faults until the end */
	struct torture_result *result;
};

static void report_fault(struct simulation *sim, const char *fmt, ...)
	G_GNUC_PRINTF(2, 3);

static void report_fault(struct simulation *sim, const char *fmt, ...)
{
	va_list ap;

	if (sim->result->fault)
		return;
	va_start(ap, fmt);
	sim->result->fault = g_strdup_vprintf(fmt, ap);
	va_end(ap);
}

static bool chance(struct simulation *sim, double p)
{
	return g_rand_double(sim->random) < p;
}

static int64_t vm_now_us(void *ctx)
{
	const struct vm *vm = ctx;

	return vm->offset_us +
	       vm->simulation->now_us * vm->rate_permille / 1000;
}

/* ---- callbacks of the group ---- */

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
	struct simulation *sim = vm->simulation;
	uint32_t to = group_node_of(vm->group, member);
	struct packet *packet;
	int copies = !sim->faults_stopped && chance(sim, 0.02) ? 2 : 1;

	if (is_granted_vote(bytes))
		vm->vote_sent = true;
	/* A disk failure stands for a crash at that write: nothing is sent. */
	if (!to || memory_fs_failed(vm->fs))
		return;
	if (!sim->faults_stopped && chance(sim, 0.03))
		return;
	while (copies--) {
		packet = g_new(struct packet, 1);
		packet->from = vm->node;
		packet->to = to;
		packet->bytes = g_bytes_ref(bytes);
		packet->due_us = sim->now_us +
				 g_rand_int_range(sim->random, 500,
						  sim->max_delay_us);
		if (!sim->faults_stopped && chance(sim, 0.02))
			packet->due_us += g_rand_int_range(sim->random, 0,
							   2000000);
		g_ptr_array_add(sim->packets, packet);
	}
}

static void on_applied(void *ctx, const struct group_applied *applied)
{
	struct vm *vm = ctx;
	struct simulation *sim = vm->simulation;
	GBytes *bytes = CODEC_ENCODE(command, applied->command);
	gsize size;
	const void *data = g_bytes_get_data(bytes, &size);
	uint64_t hash = XXH64(data, size, 0);
	uint64_t *known = g_hash_table_lookup(sim->committed, &applied->index);

	g_bytes_unref(bytes);
	if (known && *known != hash)
		report_fault(sim,
			     "node %u applied a different command at index "
			     "%" PRIu64,
			     vm->node, applied->index);
	if (known)
		return;
	sim->highest_applied = MAX(sim->highest_applied, applied->index);
	g_hash_table_insert(sim->committed,
			    g_memdup2(&applied->index, sizeof(applied->index)),
			    g_memdup2(&hash, sizeof(hash)));
}

static void on_replaced(void *ctx)
{
	struct vm *vm = ctx;

	vm->simulation->result->snapshots++;
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
	known = g_hash_table_lookup(vm->simulation->leaders, &term);
	if (known && *known != id)
		report_fault(vm->simulation, "two leaders in term %" PRIu64,
			     term);
	if (known)
		return;
	vm->simulation->result->terms++;
	g_hash_table_insert(vm->simulation->leaders,
			    g_memdup2(&term, sizeof(term)),
			    g_memdup2(&id, sizeof(id)));
}

static void on_wakeup(void *ctx)
{
	struct vm *vm = ctx;

	vm->wakeup = true;
}

/* Most jobs are quick; on some disks one in ten takes up to two seconds. */
static void on_start_job(void *ctx)
{
	struct vm *vm = ctx;
	struct simulation *sim = vm->simulation;
	bool slow = vm->node % 2 && !sim->faults_stopped &&
		    g_rand_double(sim->disk_random) < 0.1;

	vm->job_begun = true;
	vm->job_due_us = sim->now_us + g_rand_int_range(sim->disk_random, 0,
							slow ? 2000000 : 20000);
}

static void on_failed(void *ctx, enum rd_result code, const char *why)
{
	struct vm *vm = ctx;

	(void)why;
	vm->storage_failed = true;
	if (!memory_fs_failed(vm->fs))
		report_fault(vm->simulation,
			     "node %u: storage failed with %d without an "
			     "injected fault",
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
	s->cluster.election_ms = ELECTION_MS;
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
	struct simulation *sim = vm->simulation;
	enum rd_result code = RD_OK;
	char *why = NULL;
	struct group_opts opts = {
		.fs = memory_fs_driver(vm->fs),
		.clock = &vm->clock,
		.settings = &vm->settings,
		.counters = vm->counters,
		.events = { on_send, on_applied, on_replaced, on_changed,
			    on_wakeup, on_failed,
			    sim->disk == TORTURE_DISK_THREAD ? on_start_job
							     : NULL,
			    vm },
		.bootstrap = bootstrap,
		.seed = g_rand_int(sim->random),
		.new_member = g_rand_int(sim->random),
		/* Few, so that lagging members need snapshots. */
		.keep_entries = KEEP_ENTRIES,
	};

	vm->storage_failed = vm->job_begun = false;
	vm->group = group_create(&opts, &code, &why);
	if (!vm->group && !memory_fs_failed(vm->fs))
		report_fault(sim, "node %u failed to start: %d %s", vm->node,
			     code, why ? why : "");
	g_free(why);
}

/* The job may have reached the disk, or parts of it. */
static void lose_power(struct vm *vm)
{
	if (vm->job_begun && g_rand_boolean(vm->simulation->disk_random))
		group_run_job(vm->group);
	group_destroy(vm->group);
	vm->group = NULL;
	memory_fs_crash(vm->fs);
}

/* The process ends after some of its job's operations. */
static void kill_process(struct vm *vm)
{
	struct simulation *sim = vm->simulation;

	if (vm->job_begun) {
		memory_fs_fail_after(vm->fs,
				     g_rand_int_range(sim->kill_random, 1,
						      KILL_OPERATIONS),
				     EIO);
		group_run_job(vm->group);
	}
	group_destroy(vm->group);
	vm->group = NULL;
	memory_fs_kill(vm->fs);
	sim->result->kills++;
}

static bool is_kill(const struct simulation *sim)
{
	return sim->crash == TORTURE_POWER_OR_KILL &&
	       g_rand_boolean(sim->kill_random);
}

static void vm_go_down(struct vm *vm, bool kill)
{
	if (kill)
		kill_process(vm);
	else
		lose_power(vm);
	vm->simulation->result->crashes++;
	vm->down_until_us = vm->simulation->now_us +
			    g_rand_int_range(vm->simulation->random, 10000,
					     3000000);
}

static void vm_crash(struct vm *vm)
{
	vm_go_down(vm, is_kill(vm->simulation));
}

static bool vm_is_running(const struct vm *vm)
{
	return vm->group && vm->simulation->now_us >= vm->paused_until_us;
}

/* ---- operators ---- */

/*
 * Handles the result of a proposal. Whether acknowledged changes are in the
 * state is checked at the end.
 */
static void on_change_done(void *ctx, enum rd_result code,
			   const struct apply_result *result)
{
	struct change *change = ctx;
	struct operator* o = change->owner;
	struct simulation *sim = o->simulation;

	if (change->number != o->change_number || !o->waiting)
		goto done; /* the operator has given up waiting for it */
	o->waiting = false;
	o->retry_us = sim->now_us +
		      g_rand_int_range(sim->random, 1000, sim->max_gap_us);
	if (code == RD_CHANGE_UNKNOWN || code == RD_NOT_LEADER ||
	    code == RD_OVERLOADED || code == RD_IO)
		goto done; /* resent with the same change id */
	/* The result may be lost; the change is resent then. */
	if (!sim->faults_stopped && chance(sim, 0.2))
		goto done;
	if (result->code == RD_OK) {
		uint64_t *known = g_hash_table_lookup(sim->acknowledged,
						      o->change_id);

		if (known && *known != result->revision)
			report_fault(sim,
				     "change %s acknowledged with revisions "
				     "%" PRIu64 " and %" PRIu64,
				     o->change_id, *known, result->revision);
		if (!known) {
			g_hash_table_insert(
				sim->acknowledged, g_strdup(o->change_id),
				g_memdup2(&result->revision,
					  sizeof(result->revision)));
			sim->result->acknowledged++;
		}
	}
	o->change_number++;
	o->change_id_set = false;
	o->last_revision = result->revision;
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
		.base_revision = o->last_revision,
	};
	struct apply_service *apply = &command.body.command_body_u.apply;

	if (o->last_revision) {
		command.body.kind = CMD_SWITCH_PRESET;
		command.body.command_body_u.preset.service = (char *)SERVICE;
		command.body.command_body_u.preset.preset =
			(char *)(o->change_number % 2 ? "peak" : "ordinary");
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

static struct vm *pick_leader(struct simulation *sim)
{
	int start = g_rand_int_range(sim->random, 0, MEMBERS);

	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[(start + i) % MEMBERS];

		if (vm_is_running(vm) &&
		    raft_role(group_raft(vm->group)) == RAFT_LEADER)
			return vm;
	}
	return NULL;
}

static void step_operator(struct operator* o)
{
	struct simulation *sim = o->simulation;
	struct vm *vm;
	struct change *change;
	GBytes *bytes;

	/* After a timeout the operator resends the change. */
	if (o->waiting && sim->now_us > o->retry_us + 6000000)
		o->waiting = false;
	if (o->waiting || sim->now_us < o->retry_us ||
	    sim->now_us < sim->no_faults_until_us)
		return;
	vm = pick_leader(sim);
	if (!vm)
		return;
	if (!o->change_id_set)
		g_snprintf(o->change_id, sizeof(o->change_id), "op%u-%u", o->id,
			   o->change_number);
	o->change_id_set = true;
	change = g_new(struct change, 1);
	change->owner = o;
	change->number = o->change_number;
	o->waiting = true;
	o->retry_us = sim->now_us;
	bytes = encode_change(o);
	group_propose(vm->group, bytes, on_change_done, change);
	g_bytes_unref(bytes);
}

/* ---- faults ---- */

static void partition_randomly(struct simulation *sim)
{
	bool one_way = chance(sim, 0.4);

	memset(sim->link_down, 0, sizeof(sim->link_down));
	for (int i = 0; i < MEMBERS; i++)
		for (int j = 0; j < i; j++) {
			if (!chance(sim, 0.35))
				continue;
			sim->link_down[i][j] = true;
			sim->link_down[j][i] = !one_way;
		}
	sim->result->partitions++;
}

/*
 * Disconnects the leader from one other member only, and suspends changes and
 * other faults for a while.
 */
static void partition_leader(struct simulation *sim)
{
	const struct vm *leader = pick_leader(sim);
	int other = g_rand_int_range(sim->random, 0, MEMBERS);

	if (!leader || leader == &sim->vms[other])
		return;
	memset(sim->link_down, 0, sizeof(sim->link_down));
	sim->link_down[leader->node - 1][other] = true;
	sim->link_down[other][leader->node - 1] = true;
	sim->no_faults_until_us = sim->now_us + LEADER_CUT_US;
	sim->result->partitions++;
}

static bool voters_present(const struct simulation *sim,
			   const struct member_config *config);

static void change_membership(struct simulation *sim)
{
	struct vm *vm = pick_leader(sim);
	struct member_config config = { { 0 } };
	struct member *m;

	if (!vm || !CODEC_COPY(member_config,
			       raft_config(group_raft(vm->group)), &config))
		return;
	m = &config.members.members_val[g_rand_int_range(
		sim->random, 0, (gint)config.members.members_len)];
	m->voter = !m->voter;
	/* As for operators, refused while a voter is lost. */
	if (voters_present(sim, &config) &&
	    group_propose_config(vm->group, &config) == RD_OK)
		sim->result->config_changes++;
	CODEC_FREE(member_config, &config);
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

/*
 * Adds members that are missing from the configuration as learners, and removes
 * former members of their nodes, as control/members.c does.
 */
static void add_missing_members(struct simulation *sim)
{
	struct vm *leader = pick_leader(sim);

	for (int i = 0; leader && i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];
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
				membership_remove(&config, (u_int)old);
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

/* Whether each voter of a configuration is running with its own disk. */
static bool voters_present(const struct simulation *sim,
			   const struct member_config *config)
{
	for (u_int i = 0; i < config->members.members_len; i++) {
		const struct member *m = &config->members.members_val[i];
		const struct vm *vm = &sim->vms[m->node - 1];

		if (m->voter &&
		    (!vm->group || group_member_id(vm->group) != m->id))
			return false;
	}
	return true;
}

/* Whether the leader's members are committed, and its voters all present. */
static bool has_spare_voter(const struct simulation *sim,
			    const struct vm *leader)
{
	const struct raft *raft = group_raft(leader->group);
	const struct member_config *config = raft_config(raft);

	return config->members.members_len == MEMBERS &&
	       same_config(config,
			   raft_config_at(raft, raft_commit_index(raft))) &&
	       voters_present(sim, config) &&
	       membership_count_voters(config) >= VOTERS;
}

/*
 * A lost disk is tolerated while there are at least three voters, all members
 * have applied every committed entry, and no membership change is in progress.
 */
static bool can_lose_disk(struct simulation *sim)
{
	const struct vm *leader = pick_leader(sim);
	const struct member_config *config;
	uint64_t commit;

	if (!leader || !group_is_ready_leader(leader->group))
		return false;
	config = raft_config(group_raft(leader->group));
	commit = raft_commit_index(group_raft(leader->group));
	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &sim->vms[i];

		if (!vm->group ||
		    raft_applied_index(group_raft(vm->group)) < commit ||
		    !same_config(config, raft_config(group_raft(vm->group))))
			return false;
	}
	return has_spare_voter(sim, leader);
}

static void lose_disk(struct vm *vm)
{
	group_destroy(vm->group);
	vm->group = NULL;
	memory_fs_wipe(vm->fs);
	vm->simulation->result->wipes++;
	vm->down_until_us = vm->simulation->now_us + 100000;
}

static void inject_faults(struct simulation *sim)
{
	struct vm *vm = &sim->vms[g_rand_int_range(sim->random, 0, MEMBERS)];

	if (sim->now_us < sim->no_faults_until_us)
		return;
	if (chance(sim, 0.001))
		partition_leader(sim);
	if (chance(sim, 0.004) && vm->group)
		vm_crash(vm);
	if (chance(sim, 0.004) && vm->group && !memory_fs_failed(vm->fs))
		memory_fs_fail_after(vm->fs,
				     g_rand_int_range(sim->random, 1, 30),
				     chance(sim, 0.5) ? EIO : ENOSPC);
	if (chance(sim, 0.004)) {
		vm->paused_until_us = sim->now_us +
				      g_rand_int_range(sim->random, 50000,
						       2500000);
		sim->result->pauses++;
	}
	if (chance(sim, 0.004))
		partition_randomly(sim);
	if (chance(sim, 0.004))
		memset(sim->link_down, 0, sizeof(sim->link_down));
	if (chance(sim, 0.003))
		change_membership(sim);
	if (chance(sim, 0.002)) {
		struct vm *leader = pick_leader(sim);

		if (leader) {
			group_transfer_leadership(leader->group);
			sim->result->transfers++;
		}
	}
	if (chance(sim, 0.01))
		add_missing_members(sim);
	if (chance(sim, 0.01) && vm->group && can_lose_disk(sim))
		lose_disk(vm);
}

/* ---- simulation steps ---- */

static void check_leases(struct simulation *sim)
{
	int holders = 0;

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &sim->vms[i];

		/* A paused member does not count: on resuming it reads its
		 * clock before it acts. */
		if (vm_is_running(vm) && !vm->storage_failed &&
		    raft_lease_valid(group_raft(vm->group),
				     vm_now_us((void *)vm) / 1000))
			holders++;
	}
	if (holders > 1)
		report_fault(sim, "%d valid leases at the same time", holders);
}

static void deliver(struct simulation *sim)
{
	for (guint i = 0; i < sim->packets->len;) {
		struct packet *packet = sim->packets->pdata[i];
		struct vm *to = &sim->vms[packet->to - 1];
		bool lost = sim->link_down[packet->from - 1][packet->to - 1];
		gsize size;
		const void *data;

		if (packet->due_us > sim->now_us) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(sim->packets, i);
		data = g_bytes_get_data(packet->bytes, &size);
		/* A paused VM receives messages when it resumes. */
		if (to->group && !lost && !vm_is_running(to)) {
			packet->due_us = to->paused_until_us;
			g_ptr_array_add(sim->packets, packet);
			continue;
		}
		if (to->group && !lost && !to->storage_failed &&
		    !group_receive(to->group, packet->from, data, size))
			report_fault(sim, "a message cannot be decoded");
		g_bytes_unref(packet->bytes);
		g_free(packet);
	}
}

static void step_vm(struct vm *vm)
{
	struct simulation *sim = vm->simulation;

	if (!vm->group) {
		if (sim->now_us >= vm->down_until_us)
			vm_start(vm, false);
		if (vm->group)
			return;
		/* If an injected failure prevented the start, retry later. */
		if (memory_fs_failed(vm->fs) && is_kill(sim))
			memory_fs_kill(vm->fs);
		else if (memory_fs_failed(vm->fs))
			memory_fs_crash(vm->fs);
		return;
	}
	if (!vm_is_running(vm))
		return;
	if (vm->job_begun && sim->now_us >= vm->job_due_us) {
		vm->job_begun = false;
		group_run_job(vm->group);
		group_finish_job(vm->group);
	}
	do {
		vm->wakeup = false;
		group_process(vm->group);
	} while (vm->wakeup && !vm->storage_failed);
	if (vm->storage_failed) {
		vm_crash(vm);
		return;
	}
	/* A crash right after a vote: if not durable, it could vote twice. */
	if (vm->vote_sent && !sim->faults_stopped &&
	    chance(sim, sim->vote_crash_chance)) {
		vm_crash(vm);
		vm->down_until_us = sim->now_us;
	}
	vm->vote_sent = false;
}

static void step(struct simulation *sim)
{
	sim->now_us += STEP_US;
	if (!sim->faults_stopped)
		inject_faults(sim);
	deliver(sim);
	for (int i = 0; i < MEMBERS && !sim->result->fault; i++)
		step_vm(&sim->vms[i]);
	for (int i = 0; i < OPERATORS && !sim->result->fault; i++)
		step_operator(&sim->operators[i]);
	check_leases(sim);
}

/* ---- checks at the end ---- */

static bool converged(struct simulation *sim)
{
	uint64_t commit = 0;

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &sim->vms[i];

		if (!vm->group)
			return false;
		if (group_is_ready_leader(vm->group))
			commit = raft_commit_index(group_raft(vm->group));
	}
	if (!commit || commit < sim->highest_applied)
		return false;
	for (int i = 0; i < OPERATORS; i++)
		if (sim->operators[i].waiting)
			return false;
	for (int i = 0; i < MEMBERS; i++)
		if (raft_applied_index(group_raft(sim->vms[i].group)) != commit)
			return false;
	return true;
}

static void check_history(struct simulation *sim, const struct vm *vm)
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
			report_fault(sim, "change %s applied twice",
				     r->change_id);
		if (i &&
		    r->revision != s->history.history_val[i - 1].revision + 1)
			report_fault(sim,
				     "revision %" PRIu64 " is out of sequence",
				     r->revision);
	}
	g_hash_table_iter_init(&iter, sim->acknowledged);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint64_t revision = *(uint64_t *)value;
		const struct revision_record *r = g_hash_table_lookup(seen,
								      key);

		if (revision >= oldest && (!r || r->revision != revision))
			report_fault(sim, "acknowledged change %s is missing",
				     (char *)key);
	}
	g_hash_table_unref(seen);
}

static void check_states(struct simulation *sim)
{
	GBytes *first = state_save(group_state(sim->vms[0].group), true);

	for (int i = 1; i < MEMBERS; i++) {
		GBytes *other = state_save(group_state(sim->vms[i].group),
					   true);

		if (!g_bytes_equal(first, other))
			report_fault(sim, "the states of nodes 1 and %d differ",
				     i + 1);
		g_bytes_unref(other);
	}
	g_bytes_unref(first);
	check_history(sim, &sim->vms[0]);
}

/* Message delay at the end, short enough for a stable leader. */
static const int stable_delay_us = 8000;

static void stop_faults(struct simulation *sim)
{
	sim->faults_stopped = true;
	sim->max_delay_us = stable_delay_us;
	memset(sim->link_down, 0, sizeof(sim->link_down));
	for (int i = 0; i < MEMBERS; i++) {
		sim->vms[i].paused_until_us = 0;
		sim->vms[i].down_until_us = 0;
		memory_fs_fail_after(sim->vms[i].fs, 0, 0);
	}
	/* converge() stops the operators later, so that they can finish. */
}

/* Describes the state of all members, for the fault message. */
static char *describe_members(struct simulation *sim)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < MEMBERS; i++) {
		const struct vm *vm = &sim->vms[i];
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

/* Changes a vote if the rules for the group ask for it. */
static void apply_member_rules(struct simulation *sim)
{
	const struct membership_opts opts = {
		.target_voters = VOTERS,
		.members_max = RD_MEMBERS_MAX,
		.replace_after_ms = REPLACE_AFTER_MS,
		.forget_after_ms = FORGET_AFTER_MS,
	};
	const struct member_link link = { 0 }; /* none is known */
	struct vm *leader = pick_leader(sim);
	struct member_health health[2 * MEMBERS];
	struct member_config config = { { 0 } };
	struct membership_change change;

	if (!leader || !group_is_ready_leader(leader->group) ||
	    !CODEC_COPY(member_config, raft_config(group_raft(leader->group)),
			&config))
		return;
	for (u_int i = 0; i < config.members.members_len; i++)
		health[i] = membership_health(group_raft(leader->group),
					      config.members.members_val[i].id,
					      vm_now_us(leader) / 1000, &link);
	if (membership_next(&opts, &config, health, &change)) {
		membership_apply(&change, &config);
		if (group_propose_config(leader->group, &config) == RD_OK)
			sim->result->config_changes++;
	}
	CODEC_FREE(member_config, &config);
}

/* One step without new faults. */
static void quiet_step(struct simulation *sim)
{
	step(sim);
	add_missing_members(sim);
	apply_member_rules(sim);
}

/* Until a disk may be lost, or for the time that convergence may take. */
static void settle(struct simulation *sim)
{
	int64_t until = sim->now_us + (int64_t)CONVERGE_MS * 1000;

	stop_faults(sim);
	while (sim->now_us < until && !sim->result->fault &&
	       !can_lose_disk(sim))
		quiet_step(sim);
}

static void await_acknowledgement(struct simulation *sim)
{
	int64_t until = sim->now_us + (int64_t)FINAL_ACK_MS * 1000;
	uint32_t before = sim->result->acknowledged;

	while (sim->now_us < until && !sim->result->fault &&
	       sim->result->acknowledged == before)
		quiet_step(sim);
}

static void power_off(struct simulation *sim, struct vm *vm)
{
	if (vm->group)
		vm_go_down(vm, false);
	else
		memory_fs_crash(vm->fs);
	vm->down_until_us = sim->now_us +
			    g_rand_int_range(sim->random, 10, FINAL_DOWN_MS) *
				    1000;
}

static bool is_voter_of(const struct member_config *config, const struct vm *vm)
{
	for (u_int i = 0; i < config->members.members_len; i++)
		if (config->members.members_val[i].node == vm->node)
			return config->members.members_val[i].voter;
	return false;
}

enum final_fault {
	FINAL_ALL_DARK,
	FINAL_DISK,
	FINAL_DISK_VOTERS_DARK, /* and the other voters lose power */
	FINAL_DISK_ALL_DARK,	/* and all others lose power */
	FINAL_FAULTS,
};

/*
 * Right after an acknowledgement all members lose power, or one loses its disk,
 * alone or while the others lose power at the same moment.
 */
static void final_fault(struct simulation *sim)
{
	enum final_fault kind;
	const struct vm *leader;
	struct member_config voters = { { 0 } };
	int lost = g_rand_int_range(sim->random, 0, MEMBERS);

	settle(sim);
	await_acknowledgement(sim);
	kind = (enum final_fault)g_rand_int_range(sim->random, 0, FINAL_FAULTS);
	leader = pick_leader(sim);
	if (!leader || !has_spare_voter(sim, leader))
		kind = FINAL_ALL_DARK;
	if (leader)
		(void)CODEC_COPY(member_config,
				 raft_config(group_raft(leader->group)),
				 &voters);
	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];

		if (kind != FINAL_ALL_DARK && i == lost)
			lose_disk(vm);
		else if (kind == FINAL_ALL_DARK ||
			 kind == FINAL_DISK_ALL_DARK ||
			 (kind == FINAL_DISK_VOTERS_DARK &&
			  is_voter_of(&voters, vm)))
			power_off(sim, vm);
	}
	sim->result->final_wipes += kind != FINAL_ALL_DARK;
	sim->recover_until_us = sim->now_us +
				(int64_t)(FINAL_DOWN_MS + RECOVER_MS) * 1000;
	CODEC_FREE(member_config, &voters);
}

static void check_recovery(struct simulation *sim)
{
	char *description;

	if (!sim->recover_until_us)
		return;
	for (int i = 0; i < MEMBERS; i++)
		if (sim->vms[i].group &&
		    group_is_ready_leader(sim->vms[i].group))
			sim->recover_until_us = 0;
	if (!sim->recover_until_us || sim->now_us < sim->recover_until_us)
		return;
	description = describe_members(sim);
	report_fault(sim, "no leader %d ms after the final fault%s",
		     FINAL_DOWN_MS + RECOVER_MS, description);
	g_free(description);
}

static void converge(struct simulation *sim)
{
	char *description;

	int64_t until = sim->now_us + (int64_t)CONVERGE_MS * 1000;
	int64_t stop = sim->now_us + (int64_t)CONVERGE_MS * 500;

	while (sim->now_us < until && !sim->result->fault) {
		sim->now_us += STEP_US;
		deliver(sim);
		for (int i = 0; i < MEMBERS; i++)
			step_vm(&sim->vms[i]);
		for (int i = 0; i < OPERATORS && sim->now_us < stop; i++)
			step_operator(&sim->operators[i]);
		add_missing_members(sim);
		check_leases(sim);
		check_recovery(sim);
		if (sim->now_us > stop && converged(sim)) {
			check_states(sim);
			return;
		}
	}
	description = describe_members(sim);
	report_fault(sim, "not converged %d ms after the last fault%s",
		     CONVERGE_MS, description);
	g_free(description);
}

/* ---- one schedule ---- */

static void world_init(struct simulation *sim, const struct torture_opts *opts,
		       struct torture_result *result)
{
	static const int delays_us[] = { 8000, 60000, 250000 };
	static const int gaps_us[] = { 20000, 200000, 3000000 };

	memset(sim, 0, sizeof(*sim));
	sim->random = g_rand_new_with_seed(opts->seed);
	sim->disk = opts->disk;
	sim->disk_random = g_rand_new_with_seed(~opts->seed);
	sim->crash = opts->crash;
	sim->kill_random = g_rand_new_with_seed(~opts->seed);
	sim->max_delay_us = delays_us[g_rand_int_range(sim->random, 0, 3)];
	sim->max_gap_us = gaps_us[g_rand_int_range(sim->random, 0, 3)];
	sim->vote_crash_chance = chance(sim, 0.5) ? 0.3 : 0;
	sim->now_us = 1000000;
	sim->packets = g_ptr_array_new();
	sim->committed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	sim->leaders = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, g_free);
	sim->acknowledged = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free);
	sim->result = result;
	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];

		vm->simulation = sim;
		vm->node = (uint32_t)i + 1;
		vm->fs = memory_fs_create(g_rand_int(sim->random));
		vm->counters = counters_create();
		vm->rate_permille = 1000 + g_rand_int_range(sim->random,
							    -DRIFT_PERMILLE / 2,
							    DRIFT_PERMILLE / 2);
		vm->offset_us = g_rand_int_range(sim->random, 0, 1000000000);
		vm->clock = (struct clock_source){ vm_now_us, vm };
		make_settings(vm);
		vm_start(vm, i < VOTERS);
	}
	for (uint32_t i = 0; i < OPERATORS; i++) {
		sim->operators[i].simulation = sim;
		sim->operators[i].id = i;
	}
}

static void world_clear(struct simulation *sim)
{
	for (int i = 0; i < MEMBERS; i++) {
		struct vm *vm = &sim->vms[i];

		group_destroy(vm->group);
		vm->group = NULL;
		memory_fs_destroy(vm->fs);
		counters_destroy(vm->counters);
		g_ptr_array_unref(vm->settings.cluster.peers);
	}
	for (guint i = 0; i < sim->packets->len; i++) {
		struct packet *packet = sim->packets->pdata[i];

		g_bytes_unref(packet->bytes);
		g_free(packet);
	}
	g_ptr_array_unref(sim->packets);
	g_hash_table_unref(sim->committed);
	g_hash_table_unref(sim->leaders);
	g_hash_table_unref(sim->acknowledged);
	g_rand_free(sim->random);
	g_rand_free(sim->disk_random);
	g_rand_free(sim->kill_random);
}

void torture_run(const struct torture_opts *opts, struct torture_result *result)
{
	struct simulation sim;

	memset(result, 0, sizeof(*result));
	world_init(&sim, opts, result);
	while (sim.now_us < (int64_t)SCHEDULE_MS * 1000 && !result->fault)
		step(&sim);
	if (!result->fault)
		final_fault(&sim);
	if (!result->fault)
		converge(&sim);
	world_clear(&sim);
}
