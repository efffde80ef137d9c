/**
 * @file
 * Quarantine of prompt parts: finds the part of a prompt (a prefix block, or a
 * part that the caller names) that ends each replica which serves it. What a
 * caller asks for as a whole, the request's content, counts as one more part:
 * it is the same if a caller sends the request again.
 *
 * Evidence for each part: the replica ends under which a request with the part
 * was in flight, and its last success. An end counts once, however many
 * requests and entries report it; ends at the same moment count as one; an end
 * before a success of the part no longer counts. A part with several ends in a
 * row, more than chance explains by the part's share of the successes, is held:
 * its requests are refused. It explains its ends, so parts that only shared a
 * replica with it are clear. After a while one request may pass as a trial: its
 * success frees the part, an end holds it for longer.
 *
 * Entries exchange their evidence through the control leader. Merging is
 * idempotent and commutative, so the evidence may take any way, any number of
 * times. It travels as ages: clocks need not agree.
 *
 * The module does no I/O and takes the time as an argument. An instance must
 * be used from one thread only.
 */
#ifndef RADISHDEAL_QUARANTINE_H
#define RADISHDEAL_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire/radishdeal.h"

/** Set in the id of a content, clear in those of other parts. */
#define QUARANTINE_CONTENT (UINT64_C(1) << 63)

/** Parts of one request that are regarded, its content included. */
#define QUARANTINE_REQUEST_PARTS_MAX 17

/**
 * A part that ends replicas mostly does so when its answer begins. An end later
 * than this after the first event of the answer counts half.
 */
#define QUARANTINE_LATE_MS 500

/** Ends that are this close count as one, unless `same_event_ms` says else. */
#define QUARANTINE_SAME_EVENT_MS 50

/** Records in one message. */
#define QUARANTINE_REPORT_MAX 64

struct quarantine;

/** A part that has been put into quarantine or freed. */
struct quarantine_change {
	uint64_t part;
	bool held;	      /* false: freed */
	uint32_t ends;	      /* counted; after it was freed 0 */
	int64_t first_end_ms; /* local time of the oldest counted end */
	int64_t last_end_ms;
	int64_t last_success_ms; /* -1: none known */
	int64_t hold_until_ms;	 /* of a held part: a trial may follow */
};

/** In a number, 0 stands for the default. */
struct quarantine_opts {
	uint32_t node;		/* of this entry; 0: of the control leader */
	uint32_t parts_max;	/* parts with ends */
	uint32_t successes_max; /* parts whose last success is known; and as
				 * many contents */
	uint32_t ends_min;	/* in a row, to hold a part */
	int32_t same_event_ms;	/* ends this close count as one */
	int32_t hold_ms;	/* before the first trial */
	uint32_t hold_growth;	/* factor after each failed trial */
	/** Called for each change, from within any function; may be NULL. */
	void (*changed)(void *ctx, const struct quarantine_change *change);
	void *ctx;
};

struct quarantine *quarantine_create(const struct quarantine_opts *opts);
void quarantine_destroy(struct quarantine *q);

/** Sets the entries that share the trials, this one included. */
void quarantine_set_entries(struct quarantine *q, const uint32_t *nodes,
			    uint32_t count);

/** A request with these parts was answered completely. */
void quarantine_add_success(struct quarantine *q, int64_t now_ms,
			    const uint64_t *parts, uint32_t count);

/**
 * A replica ended at `end_ms`, which may have passed, while a request with
 * these parts was in flight at it; `late` if its first event was received more
 * than QUARANTINE_LATE_MS before. Called once for each such request.
 */
void quarantine_add_end(struct quarantine *q, int64_t end_ms, uint32_t replica,
			uint64_t epoch, const uint64_t *parts, uint32_t count,
			bool late);

enum quarantine_verdict {
	QUARANTINE_CLEAR,
	QUARANTINE_TRIAL, /* may be sent, after quarantine_begin_trial() */
	QUARANTINE_HELD,
};

struct quarantine_check {
	enum quarantine_verdict verdict;
	uint64_t part; /* the held one; 0 if clear */
	uint32_t ends; /* counted against it */
	int64_t retry_after_ms;
};

/** Decides whether a request with these parts may be sent to a replica. */
void quarantine_check(struct quarantine *q, int64_t now_ms,
		      const uint64_t *parts, uint32_t count,
		      struct quarantine_check *out);

/** A trial is being sent; until its result, others are held. */
void quarantine_begin_trial(struct quarantine *q, int64_t now_ms,
			    uint64_t part);

/**
 * The trial is over. Its success or end, if any, is added before the call; a
 * trial without a result may be repeated.
 */
void quarantine_end_trial(struct quarantine *q, uint64_t part);

/** Changes whenever the set of held parts changes. */
uint64_t quarantine_version(struct quarantine *q, int64_t now_ms);

/** Number of parts that are held, and of parts with ends. */
uint32_t quarantine_held(struct quarantine *q, int64_t now_ms);
uint32_t quarantine_records(const struct quarantine *q);

/**
 * Appends to `records` (of struct part_record) those changed after the change
 * number `since`, 0 for all, at most QUARANTINE_REPORT_MAX. Returns the number
 * of the last change that they include: the next `since`, once the recipient
 * has them. The caller owns the records (CODEC_FREE).
 */
uint64_t quarantine_report(struct quarantine *q, int64_t now_ms, uint64_t since,
			   GArray *records);

/** Merges the records of another instance. */
void quarantine_merge(struct quarantine *q, int64_t now_ms,
		      const struct part_record *records, uint32_t count);

#endif
