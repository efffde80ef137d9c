/**
 * @file
 * Seeded schedules of faults over a state group, in given time: members
 * crash at any write, pause, lose their disks, are cut off one way or both,
 * their clocks run apart; messages are lost, doubled and overtaken;
 * operators race and resend. Checked at every step: one leader a term, one
 * lease at a time, logs agree, nothing committed is lost, each change is
 * applied once, no acknowledged change is missing.
 */
#ifndef TEST_TORTURE_H
#define TEST_TORTURE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

/** What one schedule did. */
struct torture_result {
	char *fault; /* NULL if nothing was found; free it */
	uint32_t crashes, pauses, partitions, wipes, config_changes, transfers;
	uint32_t snapshots;    /* received by members far behind */
	uint32_t acknowledged; /* changes */
	uint32_t terms;
};

/** Runs one schedule. The same seed gives the same schedule. */
void torture_run(uint32_t seed, struct torture_result *result);

#endif
