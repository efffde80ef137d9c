/**
 * @file
 * A caller's request from admission to its response: queueing, dispatch,
 * retries and the reply.
 *
 * Unless its caller disconnects, each call ends in exactly one of three ways: a
 * complete response, an error that states whether the request may have run, or
 * a stream that is visibly cut off. Runs on the entry task.
 */
#ifndef ENTRY_CALL_H
#define ENTRY_CALL_H

#include "entry/entry_internal.h"
#include "entry/reply.h"

/* Retry delay sent to callers whose request may soon succeed. */
#define RETRY_AFTER_MS 1000

struct attempt;
struct call;

#define HTTP_MISDIRECTED 421
#define HTTP_TOO_MANY_REQUESTS 429

/* Replicas that can't be connected to before another entry is asked. */
#define UNREACHED_MAX 2u

#define PROMPT_PARTS_MAX 16
#define PEERS_TRIED_MAX 4

/**
 * The parts of a prompt that other requests may share, in their order. Those of
 * a call have its content as the last.
 */
struct prompt_parts {
	uint32_t count;
	uint64_t ids[PROMPT_PARTS_MAX + 1];
};

/** Classification of an endpoint's response by its status and headers. */
enum response_class {
	RESPONSE_FORWARD,    /* forwarded to the caller unchanged */
	RESPONSE_NOT_RUN,    /* the endpoint states that the call did not run */
	RESPONSE_FAILED,     /* ran and failed; another endpoint may succeed */
	RESPONSE_NO_ANSWER,  /* another entry's error; it may have run */
	RESPONSE_MISMATCHED, /* cannot be this request's response */
};

/** Protocol callbacks that translate a call between callers and endpoints. */
struct call_format {
	/** Header in which an endpoint names its limit; NULL for none. */
	const char *limit_header;
	/** Header by which an endpoint says that it leaves; NULL for none. */
	const char *leaving_header;
	/** Adds the headers of the request to the endpoint. */
	void (*request_headers)(const struct call *call, struct evkeyvalq *out);
	/**
	 * Adds the headers of the request to another entry, as the caller sent
	 * them. NULL: such calls can't be sent to one.
	 */
	void (*relay_headers)(const struct call *call, struct evkeyvalq *out);
	/**
	 * Returns the body of the request to the endpoint as a new reference,
	 * or NULL for none.
	 */
	GBytes *(*request_body)(const struct call *call);
	/** Classifies an endpoint's response by its status and headers. */
	enum response_class (*classify_response)(
		const struct call *call, int status,
		const struct evkeyvalq *headers);
	/**
	 * Copies what the caller gets of the headers of an endpoint's response
	 * to `to`. May be NULL: nothing.
	 */
	void (*copy_response_headers)(const struct evkeyvalq *from,
				      struct evkeyvalq *to);
	/** Adds the headers of the response to the caller. */
	void (*response_headers)(const struct call *call,
				 struct evkeyvalq *out);
	/**
	 * Moves complete events of a stream from `in` to `out`. Returns the
	 * number of tokens in them.
	 */
	uint32_t (*move_events)(struct call *call, struct evbuffer *in,
				struct evbuffer *out);
	/**
	 * Returns why move_events() stopped at bytes that cannot be passed on,
	 * or NULL. May be NULL.
	 */
	const char *(*stream_fault)(const struct call *call);
	/** Whether a stream that the endpoint has closed is complete. */
	bool (*stream_complete)(const struct call *call);
	/**
	 * Whether a started stream can be resumed without repeating an event.
	 * May be NULL: always.
	 */
	bool (*can_resume)(const struct call *call);
	/** Whether the caller already has a part of the stream. May be NULL. */
	bool (*caller_resumes)(const struct call *call);
	/** Sends an error response to the caller. */
	void (*send_error)(struct evhttp_request *req,
			   const struct problem *problem);
	/** Appends an error event to a stream that is cut off. May be NULL. */
	void (*append_stream_error)(const struct problem *problem,
				    struct evbuffer *out);
	/** Frees call->data. */
	void (*free_data)(void *data);
	bool close_delimited; /* a response may end with its connection */
};

enum call_state {
	CALL_CLAIMING,	       /* waiting for the booking claim to commit */
	CALL_QUEUED,	       /* in the admission queue */
	CALL_DISPATCHED,       /* sent to an endpoint */
	CALL_AWAITING_REPLICA, /* to be retried; no usable replica yet */
	CALL_RECORDING,	       /* waiting for the booking's outcome to commit */
};

struct call {
	struct entry *entry;
	struct entry_service *service;
	struct reply *reply; /* to the caller */
	struct call_class *call_class;
	const struct call_format *format;
	void *data; /* owned by `format` */
	enum call_state state;
	enum rd_result not_run_code; /* reason, for a call that did not run */
	int64_t replica_wait_until_ms;
	char id[REQUEST_ID_MAX];
	char *account;
	uint32_t priority;
	int64_t started_us;
	int64_t deadline_ms; /* for the response, or a stream's first token */
	int64_t completion_deadline_ms; /* end of a stream; 0: none */
	/* Latest dispatch that meets the latency objective; 0: none. */
	int64_t objective_deadline_ms;
	bool deadline_covers_output; /* not only the first token */
	bool stream;		     /* an event stream is expected */
	bool once_only;
	uint32_t attempts_max;

	enum evhttp_cmd_type method;
	char *path; /* at the endpoint, with the query */
	GBytes *body;

	char *booking_key; /* NULL for none */
	uint64_t claim_id;
	uint64_t body_hash;
	/* Of what the caller asks for; the same if it sends that again. */
	uint64_t content;

	struct admission_ticket ticket;
	bool admitted; /* the ticket was taken; admission_finish() is due */
	struct router_request route;
	struct prompt_parts parts;
	uint32_t attempts;
	uint32_t unreached; /* replicas that couldn't be connected to */
	bool relayed;	    /* by another entry, which has the caller */
	uint32_t peers_tried[PEERS_TRIED_MAX]; /* entries */
	uint32_t peers_tried_count;
	struct attempt *attempt; /* the current one, or the last */
	struct attempt *kept;	 /* while another is tried; or NULL */
	uint32_t replica_ends;	 /* under this call */
	int64_t last_end_ms;	 /* of these; 0: none */
	bool may_have_run;	 /* at some endpoint */
	int64_t first_byte_us;	 /* stream headers sent to the caller */
	uint32_t tokens;	 /* of a stream, forwarded so far */

	uint32_t oversized_at; /* replica whose response was too large; or 0 */
	const char *doubt; /* why the attempt is kept and in doubt, or NULL */
	int64_t doubt_since_ms;
	int64_t search_due_ms; /* for another replica */
};

/**
 * A validated request. Strings are copied; ownership of `data` and the
 * reference of `body` pass to the call.
 */
struct call_opts {
	struct entry_service *service;
	const char *route_name; /* NULL on the native interface */
	struct evhttp_request *req;
	const struct call_format *format;
	void *data;
	bool stream;
	bool deadline_covers_output;
	const char *id;
	const char *account;
	uint32_t priority;
	int64_t deadline_ms;
	int64_t completion_deadline_ms;
	int64_t objective_deadline_ms;
	const char *host; /* as far as it selects the service; may be NULL */
	const char *path;
	GBytes *body;
	bool once_only;
	bool relayed; /* by another entry */
	uint32_t attempts_max;
	const char *booking_key;
	struct router_request route;
	struct prompt_parts parts;
};

/** Starts a call, which frees itself when it ends. */
void call_start(struct entry *entry, const struct call_opts *opts);

/** Queues a call at its service, or rejects it as overloaded and frees it. */
void call_enqueue(struct call *call);

/**
 * Ends a call with an error and frees it. Cuts the stream off if the response
 * has started. `detail` may be NULL; `retry_after_ms` is 0 for none.
 */
void call_fail(struct call *call, enum rd_result code, enum outcome outcome,
	       const char *detail, int retry_after_ms);

/**
 * Ends a call that is known not to have run, recording that first for a
 * booking.
 */
void call_fail_not_run(struct call *call, enum rd_result code,
		       const char *detail, int retry_after_ms);

/** Removes a queued call from the queue and ends it as not run. */
void call_reject_queued(struct call *call, enum rd_result code);

/**
 * Sends a complete response to the caller, if still connected, and frees the
 * call. Moves the bytes of `body`, which may be the call's own.
 */
void call_respond(struct call *call, int status, const char *type,
		  struct evbuffer *body);

/**
 * Ends the caller's stream as complete and frees the call. A stream that has
 * not started gets its head first.
 */
void call_complete_stream(struct call *call);

/** Returns the entry's calls, for g_ptr_array_unref(). */
GPtrArray *call_list(const struct entry *entry);

/** Checks a call's deadlines and retries one that awaits a replica. */
void call_tick(struct call *call, int64_t now_ms);

/**
 * Ends a call whose entry stops before it is complete, and frees it. The claim
 * of a booking that may have run stays in the ledger until the control task
 * expires it; any other is given up.
 */
void call_end_for_shutdown(struct call *call);

/**
 * Whether a call that is sent to an endpoint now is expected to end before its
 * entry stops.
 */
bool call_has_time(const struct call *call);

/** Frees a call without a response, because the entry is destroyed. */
void call_abandon(struct call *call);

/** Sends the head of the caller's stream. */
void call_start_stream(struct call *call);

/* booking.c: idempotency records in the replicated state */
void booking_begin(struct call *call);
/** Frees the outcomes that wait to be recorded; no task runs any more. */
void booking_drop_unrecorded(struct entry *entry);
/**
 * Gives up a claim that may be in the log although the call ends without having
 * run; doesn't wait for the result.
 */
void booking_release(struct call *call);
void booking_end(struct call *call, booking_outcome outcome, int status,
		 const char *type, const void *body, size_t size);

#endif
