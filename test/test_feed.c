/* What the leader takes from the polls of other processes. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include "control/feed.h"
#include "wire/codec.h"

#define NODE 7u
#define LEASE_MS 1000
#define START_MS 100000
#define VMS_PER_REPLICA 64
/* Bound of the VMs in an image of the state. */
#define VMS_MAX 262144

struct world {
	struct feed *feed;
	struct state *state;
	int64_t now_ms;
};

static void world_init(struct world *w)
{
	struct feed_opts opts = {
		.lease_ms = LEASE_MS,
		.commands_max = 1,
		.entries_may_join = true,
	};

	w->feed = feed_create(&opts);
	w->state = state_create();
	w->now_ms = START_MS;
}

static void world_clear(struct world *w)
{
	feed_destroy(w->feed);
	state_destroy(w->state);
}

static void poll(struct world *w, uint64_t member, uint64_t incarnation)
{
	struct poll_request request = {
		.node = NODE,
		.member_id = member,
		.incarnation = incarnation,
		.callers_address = (char *)"",
		.endpoints_address = (char *)"",
		.data_centre = (char *)"",
	};
	struct poll_reply reply = { 0 };

	feed_poll(w->feed, w->now_ms, w->state, &request, &reply);
	CODEC_FREE(poll_reply, &reply);
}

static void copy_entry(void *ctx, const struct feed_entry *entry)
{
	*(struct feed_entry *)ctx = *entry;
}

static void expect(const struct world *w, uint64_t member, uint64_t incarnation)
{
	struct feed_entry entry = { 0 };

	feed_each_entry(w->feed, copy_entry, &entry);
	assert_int_equal(NODE, entry.node);
	assert_int_equal(member, entry.member);
	assert_int_equal(incarnation, entry.incarnation);
	assert_int_equal(w->now_ms, entry.last_poll_ms);
}

/* The count of a new folder begins anew. */
static void test_empty_folder_after_restarts_is_seen(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 11, 3);
	poll(&w, 12, 1);
	expect(&w, 12, 1);
	world_clear(&w);
}

static void test_delayed_poll_does_not_bring_back_a_former_folder(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 11, 3);
	poll(&w, 12, 1);
	poll(&w, 11, 3);
	expect(&w, 12, 1);
	poll(&w, 12, 2);
	poll(&w, 12, 1);
	expect(&w, 12, 2);
	world_clear(&w);
}

/* An entry's incarnation is the time of its start, which may be set back. */
static void test_clock_set_back_does_not_shut_out_an_entry(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	poll(&w, 0, 5000);
	w.now_ms += LEASE_MS + 1;
	poll(&w, 0, 4990);
	expect(&w, 0, 4990);
	world_clear(&w);
}

static void apply(struct world *w, struct command *command)
{
	struct apply_result result = { 0 };
	uint64_t index = state_applied_index(w->state) + 1;

	command->change_id = command->operator_name = (char *)"";
	state_apply(w->state, index, command, &result);
	assert_int_equal(RD_OK, result.code);
	state_result_clear(&result);
}

static void add_service(struct world *w)
{
	struct preset_spec preset = { (char *)"standing", 1, (char *)"1",
				      TRUE };
	struct command command = { .body.kind = CMD_APPLY_SERVICE };
	struct apply_service *change = &command.body.command_body_u.apply;

	change->spec = (struct service_spec){
		.name = (char *)"s",
		.pool = (char *)"",
		.model = (char *)"m",
		.adapter = (char *)"",
		.vms_per_replica = VMS_PER_REPLICA,
		.slots_per_replica = 1,
		.presets = { 1, &preset },
	};
	change->preset = change->text = (char *)"";
	apply(w, &command);
}

static void add_replica(struct world *w, uint32_t number)
{
	struct vm_ref vms[VMS_PER_REPLICA];
	struct command command = { .body.kind = CMD_ASSIGN_REPLICA };
	struct assign_replica *assign = &command.body.command_body_u.assign;

	for (uint32_t i = 0; i < VMS_PER_REPLICA; i++)
		vms[i] = (struct vm_ref){
			.name = g_strdup_printf("vm-%u-%u", number, i),
			.address = (char *)"",
			.domain = (char *)"",
			.data_centre = (char *)"",
		};
	assign->replica = number;
	assign->service = (char *)"s";
	assign->epoch = number;
	assign->model_version = (char *)"1";
	assign->vms.vms_len = VMS_PER_REPLICA;
	assign->vms.vms_val = vms;
	apply(w, &command);
	for (uint32_t i = 0; i < VMS_PER_REPLICA; i++)
		g_free(vms[i].name);
}

/*
 * Guards against CONFIG: a state that couldn't be encoded made a reply that
 * said that nothing had changed, and renewed the lease of an entry that lagged.
 */
static void test_state_that_cannot_be_sent_is_no_unchanged_one(void **state)
{
	struct poll_request request = {
		.node = NODE,
		.callers_address = (char *)"",
		.endpoints_address = (char *)"",
		.data_centre = (char *)"",
	};
	struct poll_reply reply = { 0 };
	struct world w;

	(void)state;
	world_init(&w);
	add_service(&w);
	for (uint32_t i = 1; i <= VMS_MAX / VMS_PER_REPLICA + 1; i++)
		add_replica(&w, i);
	feed_reset(w.feed, state_applied_index(w.state));
	feed_poll(w.feed, w.now_ms, w.state, &request, &reply);
	assert_int_equal(RD_TOO_LARGE, reply.code);
	CODEC_FREE(poll_reply, &reply);
	world_clear(&w);
}

static bool sends_state(struct world *w)
{
	struct poll_request request = {
		.node = NODE,
		.applied_index = state_applied_index(w->state),
		.callers_address = (char *)"",
		.endpoints_address = (char *)"",
		.data_centre = (char *)"",
	};
	struct poll_reply reply = { 0 };
	bool sent;

	feed_poll(w->feed, w->now_ms, w->state, &request, &reply);
	sent = reply.snapshot.snapshot_len != 0;
	CODEC_FREE(poll_reply, &reply);
	return sent;
}

/*
 * Guards against ROUTE: an entry kept the state of a leader of an earlier
 * build, which had read a stored deployment as one that asks for no key.
 */
static void test_state_is_sent_first_to_entries_that_are_current(void **state)
{
	struct world w;

	(void)state;
	world_init(&w);
	add_service(&w);
	feed_reset(w.feed, state_applied_index(w.state));
	assert_false(sends_state(&w));
	feed_start_leading(w.feed, w.now_ms);
	feed_send_state_first(w.feed);
	assert_true(sends_state(&w));
	w.now_ms += LEASE_MS;
	assert_true(sends_state(&w));
	w.now_ms++;
	assert_false(sends_state(&w));
	/* It may have got none of the replies. */
	w.now_ms += LEASE_MS + 1;
	assert_true(sends_state(&w));
	feed_start_leading(w.feed, w.now_ms);
	assert_false(sends_state(&w));
	world_clear(&w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_empty_folder_after_restarts_is_seen),
		cmocka_unit_test(
			test_delayed_poll_does_not_bring_back_a_former_folder),
		cmocka_unit_test(
			test_clock_set_back_does_not_shut_out_an_entry),
		cmocka_unit_test(
			test_state_that_cannot_be_sent_is_no_unchanged_one),
		cmocka_unit_test(
			test_state_is_sent_first_to_entries_that_are_current),
	};

	return cmocka_run_group_tests_name("feed", tests, NULL, NULL);
}
