/**
 * @file
 * Admission: which request of a service goes next, and which are refused.
 *
 * Requests wait in a queue per client account. Priorities are strict; within
 * one, accounts share by weight (start-time fair queueing), and what one does
 * not use is lent at once. A request that by the present pace cannot be
 * served before its deadline is refused when it comes.
 *
 * Under overload not all can be in time, and serving them in the order in
 * which they came would make all of them late. So a request whose objective
 * has passed while it waited stands back behind those that can still meet
 * theirs.
 *
 * A decision core: time is passed in. One thread owns an instance.
 */
#ifndef RADISHDEAL_ADMISSION_H
#define RADISHDEAL_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include <radishdeal/result.h>

struct admission;
struct admission_account;

/** A waiting request; owned by the caller, linked while it waits. */
struct admission_ticket {
	struct admission_account *account;
	double cost;  /* tokens, estimated */
	double start; /* virtual time at which its turn begins */
	int64_t enqueued_ms;
	int64_t objective_deadline_ms; /* in time until then; 0: until
					* deadline_ms
					*/
	int64_t deadline_ms;	       /* refused if it still waits then */
	bool overdue;		       /* its objective has passed */
	GList link;
	bool waiting;
	void *ctx;
};

struct admission *admission_create(void);
void admission_destroy(struct admission *admission);

/**
 * Adds or updates an account. `limit` bounds the requests of it that are
 * served at once from here; 0 is none.
 */
void admission_put_account(struct admission *admission, const char *name,
			   uint32_t weight, uint32_t priority, uint32_t limit);

/**
 * Lets a request wait. RD_OVERLOADED if it could not make it, with the time
 * after which asking again may help.
 */
enum rd_result admission_enqueue(struct admission *admission, int64_t now_ms,
				 struct admission_ticket *ticket,
				 const char *account, double cost,
				 int64_t deadline_ms, int64_t *retry_ms);

/** Returns whose turn it is, without taking it; NULL if nobody may go. */
struct admission_ticket *admission_peek(struct admission *admission,
					int64_t now_ms);

/** Takes a ticket out as being served from now on. */
void admission_dequeue(struct admission *admission,
		       struct admission_ticket *ticket);

/** Takes a ticket out because its caller went away or it is refused. */
void admission_cancel(struct admission *admission,
		      struct admission_ticket *ticket);

/** A served request ended; `cost` is what it used in the end. */
void admission_finish(struct admission *admission, int64_t now_ms,
		      struct admission_ticket *ticket, double cost);

/** Returns a ticket whose time is over, taken out, or NULL. */
struct admission_ticket *admission_pop_expired(struct admission *admission,
					       int64_t now_ms);

/** Requests waiting, and being served. */
uint32_t admission_waiting(const struct admission *admission);
uint32_t admission_serving(const struct admission *admission);

/** Requests of one account waiting or being served. */
uint32_t admission_outstanding(const struct admission *admission,
			       const char *account);

#endif
