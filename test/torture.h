/**
 * @file
 * Fault injection for a consensus group, in simulated time and with seeded
 * random schedules: members lose power or are killed at any write, pause, lose
 * their disks, are partitioned in one or both directions, and their clocks
 * drift; disks are slow; messages are lost, duplicated and reordered; operators
 * make concurrent changes and resend them.
 *
 * Each schedule ends, once all is calm, with a final fault right after an
 * acknowledgement: all members lose power, or one loses its disk, alone or
 * while the others lose power at the same moment.
 *
 * Checked throughout: at most one leader per term, at most one valid lease at a
 * time, and all members apply the same command at an index. Checked after the
 * final fault: a leader is ready within the users' time. Checked at the end:
 * all members have the same state, each change was applied once, and no
 * acknowledged change is missing.
 */
#ifndef TEST_TORTURE_H
#define TEST_TORTURE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What happened in one schedule. */
struct torture_result {
	char *fault;	  /* first violation found, or NULL; g_free() */
	uint32_t crashes; /* `kills` among them */
	uint32_t kills, pauses, partitions, wipes, config_changes, transfers;
	uint32_t snapshots;    /* received by members that lagged too far */
	uint32_t acknowledged; /* changes that operators got acknowledged */
	uint32_t terms;
	uint32_t final_wipes; /* final faults in which a disk was lost */
};

/** Who waits for the disk. */
enum torture_disk {
	TORTURE_DISK_INLINE, /* the member; each job is done at once */
	TORTURE_DISK_THREAD, /* another thread; the member goes on meanwhile */
};

/** What a crash of a member is. */
enum torture_crash {
	TORTURE_POWER, /* a loss of power: what isn't synced is lost */
	/* Or the end of its process: what it has written stays, until a loss of
	 * power that comes before it is synced. */
	TORTURE_POWER_OR_KILL,
};

struct torture_opts {
	uint32_t seed;
	enum torture_disk disk;
	enum torture_crash crash;
};

/** Runs one schedule. Runs with the same options are identical. */
void torture_run(const struct torture_opts *opts,
		 struct torture_result *result);

#endif
