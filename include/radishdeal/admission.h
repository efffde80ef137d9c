/**
 * @file
 * Admission control: orders the waiting requests of a service and rejects
 * those that cannot be served in time.
 *
 * Each client account has a queue. Priorities are strict; accounts of equal
 * priority share capacity by weight (start-time fair queueing), and capacity
 * that an account leaves unused is available to the others at once. A request
 * that is not expected to be dispatched by its deadline is rejected on arrival.
 *
 * Under overload, first-come first-served order would make every request miss
 * its latency objective. Requests that have missed theirs while queued are
 * therefore moved behind all those that can still meet it.
 *
 * The module does no I/O and takes the time as an argument. An instance must
 * be used from one thread only.
 */
#ifndef RADISHDEAL_ADMISSION_H
#define RADISHDEAL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/result.h>

struct admission;
struct admission_account;

/** A queued request. Owned by the caller; must stay valid while queued. */
struct admission_ticket {
	struct admission_account *account;
	double cost;	      /* estimated tokens */
	double virtual_start; /* start tag of fair queueing */
	int64_t enqueued_ms;
	int64_t objective_deadline_ms; /* latest dispatch that meets the latency
					* objective; 0: no objective */
	int64_t deadline_ms;	       /* expires if still queued then */
	int64_t least_wait_ms; /* until it can be dispatched, at the least */
	bool overdue;	       /* has missed its objective while queued */
	GList link;
	GList objective_link;
	bool waiting; /* is queued */
	void *ctx;    /* for the caller */
};

struct admission *admission_create(void);
void admission_destroy(struct admission *admission);

/**
 * Adds or updates an account. A lower `priority` is served first. `limit` is
 * the maximum number of its requests being served concurrently; 0: no limit.
 */
void admission_put_account(struct admission *admission, const char *name,
			   uint32_t weight, uint32_t priority, uint32_t limit);

/**
 * Queues a request. `cost` is its estimated number of tokens. The caller sets
 * `objective_deadline_ms` and `least_wait_ms` of the ticket beforehand. Returns
 * RD_OVERLOADED, with
 * the advised retry delay in `retry_ms`, if the request is not expected to be
 * dispatched before `deadline_ms`.
 */
enum rd_result admission_enqueue(struct admission *admission, int64_t now_ms,
				 struct admission_ticket *ticket,
				 const char *account, double cost,
				 int64_t deadline_ms, int64_t *retry_ms);

/**
 * Returns the ticket to dispatch next without dequeuing it, or NULL if none is
 * queued or every account is at its limit.
 */
struct admission_ticket *admission_peek(struct admission *admission,
					int64_t now_ms);

/** Dequeues a ticket and counts it as being served. */
void admission_dequeue(struct admission *admission,
		       struct admission_ticket *ticket);

/**
 * Removes a queued ticket whose request was abandoned or rejected. Has no
 * effect if it is not queued.
 */
void admission_cancel(struct admission *admission,
		      struct admission_ticket *ticket);

/** Ends a request being served; `cost` is the number of tokens it used. */
void admission_finish(struct admission *admission, int64_t now_ms,
		      struct admission_ticket *ticket, double cost);

/** Removes a ticket that is past its deadline and returns it, or NULL. */
struct admission_ticket *admission_pop_expired(struct admission *admission,
					       int64_t now_ms);

/** Returns the number of requests queued. */
uint32_t admission_waiting(const struct admission *admission);

/** Returns how many queued requests go before a new one of an account. */
uint32_t admission_ahead(const struct admission *admission,
			 const char *account);

/** Returns the number of requests being served. */
uint32_t admission_serving(const struct admission *admission);

/** Returns the number of an account's requests queued or being served. */
uint32_t admission_outstanding(const struct admission *admission,
			       const char *account);

#endif
