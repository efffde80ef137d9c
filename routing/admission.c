#include <string.h>

#include <radishdeal/admission.h>

/* Throughput is measured over windows of at least this length. */
#define WINDOW_MS 500
#define SMOOTHING 0.3
#define RETRY_MIN_MS 250

struct admission_account {
	char *name;
	uint32_t weight;
	uint32_t priority;
	uint32_t limit;
	uint32_t serving;
	GQueue queue;	/* of struct admission_ticket, not overdue */
	GQueue overdue; /* of those that are overdue */
	/* Those in `queue` with an objective, by objective_deadline_ms. */
	GQueue by_objective;
	double queued_cost;
	double virtual_finish; /* finish tag of its last ticket */
};

struct admission {
	GPtrArray *accounts; /* of struct admission_account */
	GHashTable *by_name;
	double virtual_time;
	uint32_t waiting, serving;
	double throughput; /* cost per ms, smoothed; 0 while unknown */
	double window_cost;
	int64_t window_start_ms; /* 0: no window yet */
	bool window_busy; /* requests were queued throughout the window */
};

static void account_free(gpointer data)
{
	struct admission_account *account = data;

	g_free(account->name);
	g_free(account);
}

struct admission *admission_create(void)
{
	struct admission *a = g_new0(struct admission, 1);

	a->accounts = g_ptr_array_new_with_free_func(account_free);
	a->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return a;
}

void admission_destroy(struct admission *a)
{
	if (!a)
		return;
	g_hash_table_unref(a->by_name);
	g_ptr_array_unref(a->accounts);
	g_free(a);
}

static struct admission_account *get_account(struct admission *a,
					     const char *name)
{
	struct admission_account *account = g_hash_table_lookup(a->by_name,
								name);

	if (account)
		return account;
	account = g_new0(struct admission_account, 1);
	account->name = g_strdup(name);
	account->weight = 1;
	g_queue_init(&account->queue);
	g_queue_init(&account->overdue);
	g_queue_init(&account->by_objective);
	g_ptr_array_add(a->accounts, account);
	g_hash_table_insert(a->by_name, account->name, account);
	return account;
}

void admission_put_account(struct admission *a, const char *name,
			   uint32_t weight, uint32_t priority, uint32_t limit)
{
	struct admission_account *account = get_account(a, name);

	account->weight = MAX(weight, 1);
	account->priority = priority;
	account->limit = limit;
}

static const GQueue *get_queue(const struct admission_account *account,
			       bool overdue)
{
	return overdue ? &account->overdue : &account->queue;
}

static bool has_eligible(const struct admission_account *account, bool overdue)
{
	return get_queue(account, overdue)->length &&
	       (!account->limit || account->serving < account->limit);
}

/* ---- throughput and queueing time ---- */

static void end_window(struct admission *a, int64_t now_ms)
{
	int64_t length = now_ms - a->window_start_ms;

	/* Throughput equals capacity only while requests are queued. */
	if (a->window_busy && a->window_cost > 0) {
		double measured = a->window_cost / (double)length;

		a->throughput =
			a->throughput
				? a->throughput +
					  SMOOTHING * (measured - a->throughput)
				: measured;
	}
	a->window_cost = 0;
	a->window_start_ms = now_ms;
	a->window_busy = a->waiting > 0;
}

static void advance_window(struct admission *a, int64_t now_ms)
{
	if (!a->window_start_ms)
		a->window_start_ms = now_ms;
	if (now_ms - a->window_start_ms >= WINDOW_MS)
		end_window(a, now_ms);
}

/* Estimates the time until a new ticket of an account is dispatched. */
static double expected_wait_ms(const struct admission *a,
			       const struct admission_account *account)
{
	double ahead = 0, weights = account->weight;

	if (a->throughput <= 0 || !a->waiting)
		return 0;
	for (guint i = 0; i < a->accounts->len; i++) {
		const struct admission_account *other = a->accounts->pdata[i];

		if (other == account || !other->queue.length)
			continue;
		if (other->priority < account->priority)
			ahead += other->queued_cost;
		else if (other->priority == account->priority)
			weights += other->weight;
	}
	/*
	 * Higher priorities go first; after them the account receives its share
	 * of the throughput by weight.
	 */
	return MIN(ahead / a->throughput + account->queued_cost * weights /
						   account->weight /
						   a->throughput,
		   (ahead + account->queued_cost) / a->throughput +
			   account->queued_cost * (weights - account->weight) /
				   account->weight / a->throughput);
}

/* From the tail: new tickets mostly have the latest deadline. */
static void insert_by_objective(struct admission_account *account,
				struct admission_ticket *ticket)
{
	GQueue *queue = &account->by_objective;
	GList *before = queue->tail;

	ticket->objective_link = (GList){ .data = ticket };
	while (before && ((struct admission_ticket *)before->data)
					 ->objective_deadline_ms >
				 ticket->objective_deadline_ms)
		before = before->prev;
	if (before)
		g_queue_insert_after_link(queue, before,
					  &ticket->objective_link);
	else
		g_queue_push_head_link(queue, &ticket->objective_link);
}

enum rd_result admission_enqueue(struct admission *a, int64_t now_ms,
				 struct admission_ticket *ticket,
				 const char *name, double cost,
				 int64_t deadline_ms, int64_t *retry_ms)
{
	struct admission_account *account = get_account(a, name);
	double wait_ms;

	advance_window(a, now_ms);
	wait_ms = MAX(expected_wait_ms(a, account),
		      (double)ticket->least_wait_ms);
	if ((double)now_ms + wait_ms > (double)deadline_ms) {
		*retry_ms = MAX(
			RETRY_MIN_MS,
			(int64_t)(wait_ms - (double)(deadline_ms - now_ms)));
		return RD_OVERLOADED;
	}
	ticket->account = account;
	ticket->cost = cost;
	ticket->enqueued_ms = now_ms;
	ticket->deadline_ms = deadline_ms;
	ticket->virtual_start = MAX(a->virtual_time, account->virtual_finish);
	account->virtual_finish = ticket->virtual_start +
				  cost / account->weight;
	account->queued_cost += cost;
	ticket->overdue = false;
	ticket->link = (GList){ .data = ticket };
	g_queue_push_tail_link(&account->queue, &ticket->link);
	if (ticket->objective_deadline_ms)
		insert_by_objective(account, ticket);
	ticket->waiting = true;
	a->waiting++;
	return RD_OK;
}

/* ---- order ---- */

static bool precedes(const struct admission_account *x,
		     const struct admission_account *y, bool overdue)
{
	const struct admission_ticket *tx = get_queue(x, overdue)->head->data;
	const struct admission_ticket *ty = get_queue(y, overdue)->head->data;

	if (x->priority != y->priority)
		return x->priority < y->priority;
	return tx->virtual_start < ty->virtual_start;
}

/* Removes a ticket that is not overdue from its account's queue. */
static void unlink_timely(struct admission_ticket *ticket)
{
	struct admission_account *account = ticket->account;

	g_queue_unlink(&account->queue, &ticket->link);
	if (ticket->objective_deadline_ms)
		g_queue_unlink(&account->by_objective, &ticket->objective_link);
	account->queued_cost -= ticket->cost;
}

/*
 * Moves overdue tickets to the queue of lower precedence. New tickets are
 * dispatched before them, so that their cost does not count as queued.
 */
static void demote_overdue(struct admission_account *account, int64_t now_ms)
{
	while (account->by_objective.length) {
		struct admission_ticket *ticket =
			account->by_objective.head->data;

		if (now_ms <= ticket->objective_deadline_ms)
			return;
		unlink_timely(ticket);
		g_queue_push_tail_link(&account->overdue, &ticket->link);
		ticket->overdue = true;
	}
}

static struct admission_account *next_account(const struct admission *a,
					      bool overdue)
{
	struct admission_account *best = NULL;

	for (guint i = 0; i < a->accounts->len; i++) {
		struct admission_account *account = a->accounts->pdata[i];

		if (has_eligible(account, overdue) &&
		    (!best || precedes(account, best, overdue)))
			best = account;
	}
	return best;
}

struct admission_ticket *admission_peek(struct admission *a, int64_t now_ms)
{
	struct admission_account *account;

	for (guint i = 0; i < a->accounts->len; i++)
		demote_overdue(a->accounts->pdata[i], now_ms);
	account = next_account(a, false);
	if (account)
		return account->queue.head->data;
	account = next_account(a, true);
	return account ? account->overdue.head->data : NULL;
}

static void unlink_ticket(struct admission *a, struct admission_ticket *ticket)
{
	if (ticket->overdue)
		g_queue_unlink(&ticket->account->overdue, &ticket->link);
	else
		unlink_timely(ticket);
	ticket->waiting = false;
	a->waiting--;
	if (!a->waiting)
		a->window_busy = false;
}

void admission_dequeue(struct admission *a, struct admission_ticket *ticket)
{
	unlink_ticket(a, ticket);
	a->virtual_time = MAX(a->virtual_time, ticket->virtual_start);
	ticket->account->serving++;
	a->serving++;
}

void admission_cancel(struct admission *a, struct admission_ticket *ticket)
{
	if (!ticket->waiting)
		return;
	/* Refunds the estimated cost to the account. */
	ticket->account->virtual_finish -= ticket->cost /
					   ticket->account->weight;
	unlink_ticket(a, ticket);
}

void admission_finish(struct admission *a, int64_t now_ms,
		      struct admission_ticket *ticket, double cost)
{
	struct admission_account *account = ticket->account;

	account->serving--;
	a->serving--;
	/* Charges the difference between actual and estimated cost. */
	account->virtual_finish += (cost - ticket->cost) / account->weight;
	a->window_cost += cost;
	advance_window(a, now_ms);
}

static struct admission_ticket *find_expired(const GQueue *queue,
					     int64_t now_ms)
{
	for (GList *l = queue->head; l; l = l->next) {
		struct admission_ticket *ticket = l->data;

		if (now_ms >= ticket->deadline_ms)
			return ticket;
	}
	return NULL;
}

struct admission_ticket *admission_pop_expired(struct admission *a,
					       int64_t now_ms)
{
	for (guint i = 0; i < a->accounts->len; i++) {
		struct admission_account *account = a->accounts->pdata[i];
		struct admission_ticket *ticket =
			find_expired(&account->overdue, now_ms);

		if (!ticket)
			ticket = find_expired(&account->queue, now_ms);
		if (!ticket)
			continue;
		admission_cancel(a, ticket);
		return ticket;
	}
	return NULL;
}

uint32_t admission_waiting(const struct admission *a)
{
	return a->waiting;
}

uint32_t admission_ahead(const struct admission *a, const char *name)
{
	const struct admission_account *account =
		g_hash_table_lookup(a->by_name, name);
	uint32_t own = account ? account->queue.length : 0;
	uint32_t weight = account ? account->weight : 1;
	uint32_t ahead = own;

	for (guint i = 0; i < a->accounts->len; i++) {
		const struct admission_account *other = a->accounts->pdata[i];

		if (other == account)
			continue;
		if (account && other->priority < account->priority)
			ahead += other->queue.length;
		else if (!account || other->priority == account->priority)
			ahead += MIN(other->queue.length,
				     (own + 1) * other->weight / weight);
	}
	return ahead;
}

uint32_t admission_serving(const struct admission *a)
{
	return a->serving;
}

uint32_t admission_outstanding(const struct admission *a, const char *name)
{
	const struct admission_account *account =
		g_hash_table_lookup(a->by_name, name);

	return account ? account->serving + account->queue.length +
				 account->overdue.length
		       : 0;
}
