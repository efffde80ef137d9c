/**
 * @file
 * Counters, gauges and latency histograms, exported as Prometheus text.
 *
 * A process has one set. Updates are relaxed atomics, so any thread may call.
 * The help texts of the tables are the HELP lines of /metrics.
 */
#ifndef COMMON_COUNTERS_H
#define COMMON_COUNTERS_H

#include <stdint.h>

#include <glib.h>

/** X(symbol, name, type, help). */
#define COUNTER_TABLE(X)                                                     \
	X(REQUESTS, "requests_total", "counter",                             \
	  "requests taken from callers")                                     \
	X(COMPLETED, "answers_whole_total", "counter",                       \
	  "requests answered whole")                                         \
	X(NOT_RUN, "answers_not_run_total", "counter",                       \
	  "requests refused that did not run")                               \
	X(OUTCOME_UNKNOWN, "answers_unknown_total", "counter",               \
	  "requests whose outcome is unknown")                               \
	X(STREAMS_CUT_OFF, "streams_broken_total", "counter",                \
	  "streams that ended visibly broken")                               \
	X(CALLER_DISCONNECTED, "callers_left_total", "counter",              \
	  "callers that went away before their answer")                      \
	X(RETRIES, "retries_total", "counter",                               \
	  "dispatches after the first of a request")                         \
	X(RESUMES, "resumes_total", "counter",                               \
	  "streams continued on another dispatch")                           \
	X(RELAYED, "relayed_total", "counter",                               \
	  "requests sent through another entry")                             \
	X(ANSWERS_CUT, "answers_cut_total", "counter",                       \
	  "answers of endpoints cut at a limit on their bytes or stalls")    \
	X(TOKENS, "tokens_total", "counter", "tokens passed to callers")     \
	X(IN_FLIGHT, "streams_open", "gauge",                                \
	  "requests in flight at endpoints")                                 \
	X(QUEUED, "requests_queued", "gauge", "requests waiting for a slot") \
	X(REPLICA_ENDS, "replica_ends_total", "counter",                     \
	  "replicas that ended with requests of this entry")                 \
	X(LIMITED_ENDPOINTS, "limited_endpoints", "gauge",                   \
	  "endpoints that name a limit on their requests")                   \
	X(RESTS, "rests_total", "counter",                                   \
	  "answers by which endpoints asked this entry for rest")            \
	X(LINKS_DOWN, "services_unreachable", "gauge",                       \
	  "services of which this entry reaches no endpoint at all")         \
	X(PARTS_HELD, "prompt_parts_held", "gauge",                          \
	  "prompt parts and contents of requests in quarantine")             \
	X(PARTS_REFUSED, "quarantined_total", "counter",                     \
	  "requests refused because of a part in quarantine")                \
	X(PART_TRIALS, "prompt_part_trials_total", "counter",                \
	  "requests sent as the trial of a part in quarantine")              \
	X(STOP_SIGNALS, "stop_signals_total", "counter",                     \
	  "signals received that ask this process to stop")                  \
	X(ANNOUNCEMENTS, "announcements_total", "counter",                   \
	  "announcements taken from endpoints")                              \
	X(ANNOUNCEMENTS_REFUSED, "announcements_refused_total", "counter",   \
	  "announcements refused")                                           \
	X(DIGESTS_SENT, "digests_sent_total", "counter",                     \
	  "evidence digests sent")                                           \
	X(DIGESTS_MISSED, "digests_missed_total", "counter",                 \
	  "gaps in evidence digests received")                               \
	X(BOOKING_CLAIMS, "booking_claims_total", "counter",                 \
	  "booking claims granted")                                          \
	X(BOOKING_REPLAYS, "booking_replays_total", "counter",               \
	  "bookings answered from the ledger")                               \
	X(PROPOSALS, "proposals_total", "counter",                           \
	  "commands proposed to the log here")                               \
	X(APPLIED, "applied_total", "counter", "log entries applied")        \
	X(ENCODINGS_FAILED, "encodings_failed_total", "counter",             \
	  "messages, snapshots and commands that exceeded a bound")          \
	X(SYNCS, "syncs_total", "counter", "group commits to disk")          \
	X(LEADER_CHANGES, "leader_changes_total", "counter",                 \
	  "changes of leader seen")                                          \
	X(ORDERS, "orders_sent_total", "counter", "orders sent to engines")  \
	X(ORDERS_REFUSED, "orders_refused_total", "counter",                 \
	  "orders refused as stale")                                         \
	X(ORDERS_WITHHELD, "orders_withheld_total", "counter",               \
	  "orders not sent because the lease had run out")                   \
	X(LOG_DROPPED, "log_lines_dropped", "gauge",                         \
	  "log lines not written, as their reader was slow")                 \
	X(CLIENT_CONNECTIONS, "client_connections", "gauge",                 \
	  "connections of clients, on all HTTP ports")                       \
	X(CLIENT_REQUEST_BYTES, "client_request_bytes", "gauge",             \
	  "bytes of requests that are received or in progress")              \
	X(CLIENT_UNREAD_BYTES, "client_unread_bytes", "gauge",               \
	  "bytes of responses that clients have not read")                   \
	X(CLIENTS_MALFORMED, "clients_malformed_total", "counter",           \
	  "requests refused as malformed")                                   \
	X(CLIENTS_OVER_HEAD, "clients_over_head_total", "counter",           \
	  "requests refused for the size of their head")                     \
	X(CLIENTS_OVER_BODY, "clients_over_body_total", "counter",           \
	  "requests refused for the size of their body or its framing")      \
	X(CLIENTS_SLOW, "clients_slow_total", "counter",                     \
	  "requests refused as they did not arrive in time")                 \
	X(CLIENTS_WITHOUT_ROOM, "clients_without_room_total", "counter",     \
	  "requests refused for want of memory")                             \
	X(CLIENTS_UNREAD, "clients_unread_total", "counter",                 \
	  "connections closed as their responses were not read")             \
	X(CLIENTS_BEYOND_CONNECTIONS, "clients_beyond_connections_total",    \
	  "counter", "connections closed in favour of new ones")             \
	X(RPC_BYTES, "rpc_bytes_sent_total", "counter",                      \
	  "bytes sent to other processes of the system")

enum counter {
#define COUNTER_ENUM(sym, name, type, help) COUNTER_##sym,
	COUNTER_TABLE(COUNTER_ENUM)
#undef COUNTER_ENUM
		COUNTER_COUNT
};

/** X(symbol, name, help). Values are in microseconds. */
#define HISTOGRAM_TABLE(X)                                             \
	X(TTFT, "first_token_us", "request taken to first token sent") \
	X(RESPONSE_TIME, "whole_answer_us",                            \
	  "request taken to answer complete")                          \
	X(QUEUE, "queue_us", "request taken to dispatch")              \
	X(DECISION, "decision_us", "time to choose a replica")         \
	X(COMMIT, "commit_us", "proposal to applied, on the leader")   \
	X(SYNC, "sync_us", "time of a group commit")

enum histogram {
#define HISTOGRAM_ENUM(sym, name, help) HISTOGRAM_##sym,
	HISTOGRAM_TABLE(HISTOGRAM_ENUM)
#undef HISTOGRAM_ENUM
		HISTOGRAM_COUNT
};

struct counters;

struct counters *counters_create(void);
void counters_destroy(struct counters *counters);

void counters_add(struct counters *counters, enum counter which, int64_t n);
void counters_set(struct counters *counters, enum counter which, int64_t n);
int64_t counters_get(const struct counters *counters, enum counter which);

/** Adds a duration to a histogram; a negative one counts as 0. */
void counters_record_duration(struct counters *counters, enum histogram which,
			      int64_t us);

/** Appends all values in Prometheus text format. */
void counters_print(const struct counters *counters, GString *out);

#endif
