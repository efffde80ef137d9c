/* The merged view of monitors' digests. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#include <radishdeal/evidence.h>

#define SILENCE_MS 1000

static struct vm_report make_report(uint64_t sequence)
{
	return (struct vm_report){
		.name = (char *)"vm",
		.address = (char *)"",
		.data_centre = (char *)"",
		.domain = (char *)"",
		.service = (char *)"",
		.pool = (char *)"",
		.incarnation = 1,
		.sequence = sequence,
		.model = (char *)"",
		.adapter = (char *)"",
		.model_version = (char *)"",
	};
}

/* Makes a digest of `node` that reports the VM, if `report` is not NULL. */
static struct digest make_digest(uint32_t node, uint64_t sequence,
				 struct vm_report *report)
{
	return (struct digest){
		.monitor_node = node,
		.incarnation = 1,
		.sequence = sequence,
		.changed_vms = { report ? 1 : 0, report },
	};
}

/* Merges a full digest. */
static void merge(struct view *view, int64_t now_ms, uint32_t node,
		  uint64_t sequence, struct vm_report *report)
{
	struct digest digest = make_digest(node, sequence, report);

	digest.full = TRUE;
	assert_true(view_merge(view, now_ms, &digest));
}

/* Merges one that is not full and has a gap before it. */
static void merge_with_gap(struct view *view, int64_t now_ms, uint32_t node,
			   uint64_t sequence, struct vm_report *report)
{
	struct digest digest = make_digest(node, sequence, report);

	assert_false(view_merge(view, now_ms, &digest));
}

/* Merges one that is not full, follows the last one and reports a loss. */
static void merge_loss(struct view *view, int64_t now_ms, uint32_t node,
		       uint64_t sequence)
{
	struct digest digest = make_digest(node, sequence, NULL);
	char *lost[] = { (char *)"vm" };

	digest.lost_vms.lost_vms_len = 1;
	digest.lost_vms.lost_vms_val = lost;
	assert_true(view_merge(view, now_ms, &digest));
}

static void test_vm_that_returns_with_a_known_report_is_a_change(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);
	uint64_t version;

	(void)state;
	merge(view, 1000, 1, 1, &report);
	merge(view, 1100, 1, 2, NULL);
	assert_false(view_alive(view, view_find(view, "vm"), 1100));
	version = view_version(view);
	/* Another monitor, whose report is no newer, still hears the VM. */
	merge(view, 1200, 2, 1, &report);
	assert_true(view_alive(view, view_find(view, "vm"), 1200));
	assert_true(view_version(view) > version);
	/* While it is alive a known report is no change. */
	version = view_version(view);
	merge(view, 1300, 2, 2, &report);
	assert_int_equal(version, view_version(view));
	view_destroy(view);
}

/* Its incarnation is the time of its start. */
static void test_clock_set_back_does_not_shut_out_a_monitor(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);
	struct digest digest = {
		.monitor_node = 1,
		.incarnation = 5000,
		.sequence = 1,
		.full = TRUE,
		.changed_vms = { 1, &report },
	};

	(void)state;
	assert_true(view_merge(view, 1000, &digest));
	digest.incarnation = 4990;
	view_expire(view, 1000 + SILENCE_MS);
	assert_false(
		view_alive(view, view_find(view, "vm"), 1000 + SILENCE_MS));
	assert_true(view_merge(view, 1000 + SILENCE_MS, &digest));
	assert_true(view_alive(view, view_find(view, "vm"), 1000 + SILENCE_MS));
	view_destroy(view);
}

/*
 * Guards against DRAIN: a VM's leaving, told to another monitor than the one
 * that had its last heartbeat, was dropped with the outdated report that told
 * it.
 */
static void test_leaving_counts_in_an_outdated_report(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report heartbeat = make_report(9);
	struct vm_report leaving = make_report(8);
	uint64_t version;

	(void)state;
	leaving.leaving = TRUE;
	merge(view, 1000, 2, 1, &heartbeat);
	version = view_version(view);
	merge(view, 1010, 1, 1, &leaving);
	assert_true(view_find(view, "vm")->report.leaving);
	assert_true(view_version(view) > version);
	/* It stays until the VM's next start. */
	heartbeat.sequence = 10;
	merge(view, 1020, 2, 2, &heartbeat);
	assert_true(view_find(view, "vm")->report.leaving);
	heartbeat.incarnation = 2;
	merge(view, 1030, 2, 3, &heartbeat);
	assert_false(view_find(view, "vm")->report.leaving);
	/* An earlier start's leaving says nothing of this one. */
	merge(view, 1040, 1, 2, &leaving);
	assert_false(view_find(view, "vm")->report.leaving);
	view_destroy(view);
}

/*
 * Guards against DRAIN: a monitor that had not heard of the VM for long listed
 * it as lost in place of leaving, though it had just been told.
 */
static void test_leaving_is_told_by_a_monitor_without_recent_heartbeats(
	void **state)
{
	struct monitor_opts opts = { .node = 1, .silence_ms = SILENCE_MS };
	struct monitor *monitor = monitor_create(&opts);
	struct vm_report heartbeat = make_report(7), elsewhere = make_report(9);
	int64_t told_ms = 1000 + 2 * SILENCE_MS;
	struct digest digest;

	(void)state;
	assert_true(monitor_handle_announcement(monitor, 1000, &heartbeat));
	assert_true(monitor_mark_leaving(monitor, told_ms, &elsewhere, "vm"));
	monitor_make_digest(monitor, told_ms, false, &digest);
	assert_int_equal(0, digest.lost_vms.lost_vms_len);
	assert_int_equal(1, digest.changed_vms.changed_vms_len);
	assert_true(digest.changed_vms.changed_vms_val[0].leaving);
	assert_true(digest.changed_vms.changed_vms_val[0].sequence >
		    elsewhere.sequence);
	monitor_digest_clear(&digest);
	monitor_destroy(monitor);
}

static void test_vm_that_returns_after_silence_is_a_change(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);
	uint64_t version;

	(void)state;
	merge(view, 1000, 1, 1, &report);
	view_expire(view, 1000 + SILENCE_MS);
	assert_false(
		view_alive(view, view_find(view, "vm"), 1000 + SILENCE_MS));
	version = view_version(view);
	merge(view, 1100 + SILENCE_MS, 1, 2, &report);
	assert_true(view_alive(view, view_find(view, "vm"), 1100 + SILENCE_MS));
	assert_true(view_version(view) > version);
	view_destroy(view);
}

#define STARTED_MS 100000

/* A new entry's first digest of a monitor is usually not a full one. */
static void test_vm_in_first_digest_with_a_gap_is_alive(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);

	(void)state;
	merge_with_gap(view, STARTED_MS, 1, 40, &report);
	view_expire(view, STARTED_MS + 1);
	assert_true(view_alive(view, view_find(view, "vm"), STARTED_MS + 1));
	/* Later ones with a gap may have missed its loss: no renewal. */
	merge_with_gap(view, STARTED_MS + 500, 1, 42, NULL);
	view_expire(view, STARTED_MS + SILENCE_MS);
	assert_false(view_alive(view, view_find(view, "vm"),
				STARTED_MS + SILENCE_MS));
	view_destroy(view);
}

static void test_vm_moved_to_a_monitor_not_heard_in_full_is_alive(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);

	(void)state;
	merge(view, STARTED_MS, 1, 1, &report);
	report.sequence++;
	merge_with_gap(view, STARTED_MS + 100, 2, 40, &report);
	merge_loss(view, STARTED_MS + 200, 1, 2);
	view_expire(view, STARTED_MS + 200);
	assert_true(view_alive(view, view_find(view, "vm"), STARTED_MS + 200));
	view_expire(view, STARTED_MS + 100 + SILENCE_MS);
	assert_false(view_alive(view, view_find(view, "vm"),
				STARTED_MS + 100 + SILENCE_MS));
	view_destroy(view);
}

static void test_vm_reported_after_a_missed_digest_is_alive(void **state)
{
	struct view_opts opts = { SILENCE_MS };
	struct view *view = view_create(&opts);
	struct vm_report report = make_report(7);

	(void)state;
	merge(view, STARTED_MS, 1, 1, &report);
	merge_loss(view, STARTED_MS + SILENCE_MS, 1, 2);
	report.sequence++;
	merge_with_gap(view, STARTED_MS + 3 * SILENCE_MS, 1, 9, &report);
	view_expire(view, STARTED_MS + 3 * SILENCE_MS);
	assert_true(view_alive(view, view_find(view, "vm"),
			       STARTED_MS + 3 * SILENCE_MS));
	view_destroy(view);
}

/* A VM that was alive and is lost, and what is kept of its announcements. */
struct lost_vm {
	struct view *view;
	struct unconfirmed *unconfirmed;
	int64_t now_ms;
};

static void lose_vm(struct lost_vm *vm)
{
	struct view_opts opts = { SILENCE_MS };
	struct vm_report report = make_report(1);

	vm->view = view_create(&opts);
	vm->unconfirmed = unconfirmed_create();
	vm->now_ms = 1000;
	merge(vm->view, vm->now_ms, 1, 1, &report);
	assert_false(unconfirmed_hold(vm->unconfirmed, vm->view, vm->now_ms,
				      &report));
	vm->now_ms += SILENCE_MS;
	view_expire(vm->view, vm->now_ms);
}

static bool is_held(const struct lost_vm *vm, const struct vm_report *report)
{
	return unconfirmed_hold(vm->unconfirmed, vm->view, vm->now_ms, report);
}

static void clear_vm(struct lost_vm *vm)
{
	unconfirmed_destroy(vm->unconfirmed);
	view_destroy(vm->view);
}

static void test_lost_vm_needs_two_announcements(void **state)
{
	struct vm_report second = make_report(2), third = make_report(3);
	struct lost_vm vm;

	(void)state;
	lose_vm(&vm);
	assert_true(is_held(&vm, &second));
	assert_true(is_held(&vm, &second));
	assert_false(is_held(&vm, &third));
	clear_vm(&vm);
}

static void test_restarted_vm_needs_one_announcement(void **state)
{
	struct vm_report report = make_report(1);
	struct lost_vm vm;

	(void)state;
	lose_vm(&vm);
	report.incarnation++;
	assert_false(is_held(&vm, &report));
	clear_vm(&vm);
}

/*
 * Guards against DRAIN: a VM that came back from a cut and left was
 * acknowledged, and requests reached it until it had announced that a second
 * time.
 */
static void test_lost_vm_that_leaves_needs_one_announcement(void **state)
{
	struct vm_report report = make_report(2);
	struct lost_vm vm;

	(void)state;
	lose_vm(&vm);
	report.leaving = TRUE;
	assert_false(is_held(&vm, &report));
	clear_vm(&vm);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			test_clock_set_back_does_not_shut_out_a_monitor),
		cmocka_unit_test(test_lost_vm_needs_two_announcements),
		cmocka_unit_test(test_restarted_vm_needs_one_announcement),
		cmocka_unit_test(
			test_lost_vm_that_leaves_needs_one_announcement),
		cmocka_unit_test(test_leaving_counts_in_an_outdated_report),
		cmocka_unit_test(
			test_leaving_is_told_by_a_monitor_without_recent_heartbeats),
		cmocka_unit_test(
			test_vm_that_returns_with_a_known_report_is_a_change),
		cmocka_unit_test(
			test_vm_that_returns_after_silence_is_a_change),
		cmocka_unit_test(test_vm_in_first_digest_with_a_gap_is_alive),
		cmocka_unit_test(
			test_vm_moved_to_a_monitor_not_heard_in_full_is_alive),
		cmocka_unit_test(
			test_vm_reported_after_a_missed_digest_is_alive),
	};

	return cmocka_run_group_tests_name("view", tests, NULL, NULL);
}
