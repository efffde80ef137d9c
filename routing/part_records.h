/*
 * Evidence for and against prompt parts, and its exchange; private to the
 * quarantine.
 */
#ifndef ROUTING_PART_RECORDS_H
#define ROUTING_PART_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire/radishdeal.h"

#define PART_ENDS_MAX 16

/** No success is known. */
#define PART_NO_SUCCESS (-1)

struct part_end {
	uint32_t replica;
	uint64_t epoch;
	int64_t time_ms;
	bool late;	 /* for all requests with the part */
	bool cleared;	 /* the part succeeded afterwards */
	uint32_t number; /* of the replica's end, set by the verdict */
};

struct part_entry {
	uint64_t part;
	int64_t success_ms;
	uint32_t share_log2; /* under 2^N of 10,000 successes have it */
	uint64_t change;     /* number of its last one */
	GList link;	     /* in part_records.by_change */
	struct part_end ends[PART_ENDS_MAX]; /* newest first */
	uint32_t end_count;
	/* The verdict on it. */
	bool held, was_held, on_trial;
	uint32_t counted;
	int64_t first_end_ms, last_end_ms, hold_until_ms;
};

/**
 * Parts whose last success is known; the oldest are dropped. Most contents
 * occur once, and must not displace what is known of other parts.
 */
struct part_successes {
	GQueue by_time; /* of struct part_success, latest last */
	uint32_t max;
};

/** A count that loses half of its value in a fixed time. */
struct part_count {
	double count; /* at `time_ms` */
	int64_t time_ms;
};

struct part_records_opts {
	uint32_t parts_max, successes_max;
	/** Called before an entry is dropped. */
	void (*dropped)(void *ctx, const struct part_entry *entry);
	void *ctx;
};

struct part_records {
	struct part_records_opts opts;
	GHashTable *parts;     /* id -> struct part_entry */
	GQueue by_change;      /* of struct part_entry, latest change last */
	GHashTable *successes; /* id -> struct part_success */
	struct part_successes contents, others;
	struct part_count answered; /* requests */
	uint64_t last_change;
	bool changed; /* since the owner reset it */
};

void part_records_init(struct part_records *records,
		       const struct part_records_opts *opts);
void part_records_clear(struct part_records *records);

struct part_entry *part_records_find(const struct part_records *records,
				     uint64_t part);
void part_records_add_success(struct part_records *records, int64_t now_ms,
			      const uint64_t *parts, uint32_t count);
void part_records_add_end(struct part_records *records, uint64_t part,
			  const struct part_end *end);

/** Drops the entries whose newest end is older than `oldest_ms`. */
void part_records_expire(struct part_records *records, int64_t oldest_ms);

/** Returns the time of the newest end of the entry that expires first. */
int64_t part_records_oldest_ms(const struct part_records *records);

void part_records_merge(struct part_records *records, int64_t now_ms,
			const struct part_record *record);

/** Like quarantine_report(), of the entries with `ends_min` ends or more. */
uint64_t part_records_report(const struct part_records *records, int64_t now_ms,
			     uint64_t since, uint32_t ends_min, uint32_t max,
			     GArray *out);

#endif
