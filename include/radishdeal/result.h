/**
 * @file
 * Numbered result codes of the daemon, the command-line tool and the library.
 * docs/RESULTS.md is generated from the table below; a test compares the two.
 *
 * The functions are thread-safe.
 */
#ifndef RADISHDEAL_RESULT_H
#define RADISHDEAL_RESULT_H

/**
 * X(symbol, code, name, HTTP status, exit status, text).
 * Codes never change their meaning; new ones are added at the end of their
 * group.
 */
#define RD_RESULT_TABLE(X)                                                     \
	X(OK, 0, "ok", 200, 0, "done")                                         \
	X(INTERNAL, 1, "internal", 500, 70, "an invariant of ours failed")     \
	X(BAD_REQUEST, 100, "bad-request", 400, 65,                            \
	  "the request is malformed")                                          \
	X(TOO_LARGE, 101, "too-large", 413, 65, "over a size limit")           \
	X(NO_KEY, 102, "no-key", 401, 77, "no bearer key was given")           \
	X(WRONG_KEY, 103, "wrong-key", 401, 77, "the key is not known")        \
	X(WRONG_SERVICE, 104, "wrong-service", 403, 77,                        \
	  "the key's client account does not belong to this service")          \
	X(NO_SERVICE, 105, "no-service", 404, 66, "no such service")           \
	X(NO_ROUTE, 106, "no-route", 404, 66, "no such address")               \
	X(BAD_METHOD, 107, "bad-method", 405, 65, "method not allowed here")   \
	X(FORBIDDEN, 108, "forbidden", 403, 77,                                \
	  "the operator's key does not have the role this needs")              \
	X(HEAD_TOO_LARGE, 109, "head-too-large", 431, 65,                      \
	  "the request line and headers are over their limit")                 \
	X(NO_REPLICA, 200, "no-replica", 503, 75,                              \
	  "no whole, healthy replica at the moment")                           \
	X(OVERLOADED, 201, "overloaded", 429, 75,                              \
	  "the work cannot be done within its deadline")                       \
	X(OVER_LIMIT, 202, "over-limit", 429, 75,                              \
	  "the client account is over its limit")                              \
	X(MAINTENANCE, 203, "maintenance", 503, 75,                            \
	  "the preset in force admits no work")                                \
	X(DRAINING, 204, "draining", 503, 75, "this entry VM is draining")     \
	X(CUT_OFF, 205, "cut-off", 503, 75,                                    \
	  "this entry VM cannot know which configuration is in force")         \
	X(UPSTREAM_BROKE, 206, "upstream-broke", 502, 75,                      \
	  "the endpoint's answer broke off")                                   \
	X(DEADLINE, 207, "deadline", 504, 75, "the deadline passed")           \
	X(CALLER_LEFT, 208, "caller-left", 499, 75, "the caller went away")    \
	X(KEY_REUSED, 209, "key-reused", 422, 65,                              \
	  "the Idempotency-Key was used with another body")                    \
	X(OUTCOME_UNKNOWN, 210, "outcome-unknown", 502, 75,                    \
	  "the booking was dispatched and its outcome is not known")           \
	X(IN_FLIGHT, 212, "in-flight", 409, 75,                                \
	  "the same booking is in flight; ask again")                          \
	X(QUARANTINED, 213, "quarantined", 503, 75,                            \
	  "replicas ended that served requests with a part of this prompt")    \
	X(NO_ROOM, 214, "no-room", 503, 75,                                    \
	  "this VM holds too much of unfinished requests")                     \
	X(SLOW_REQUEST, 215, "slow-request", 408, 75,                          \
	  "the request did not arrive in time")                                \
	X(CONFLICT, 300, "conflict", 409, 69,                                  \
	  "the change was made against an older revision")                     \
	X(NOT_LEADER, 301, "not-leader", 503, 75, "this VM is not the leader") \
	X(NO_QUORUM, 302, "no-quorum", 503, 75, "no leader with a quorum")     \
	X(INVALID, 303, "invalid", 422, 65, "the change breaks a rule")        \
	X(NO_PRESET, 304, "no-preset", 404, 66, "no such preset")              \
	X(NO_REVISION, 305, "no-revision", 404, 66, "no such revision")        \
	X(LAGGARDS, 306, "laggards", 504, 75,                                  \
	  "accepted, but not in force everywhere within the time given")       \
	X(CHANGE_UNKNOWN, 307, "change-unknown", 504, 75,                      \
	  "no answer; resend with the same change id to learn the outcome")    \
	X(VM_TAKEN, 308, "vm-taken", 409, 69,                                  \
	  "the VM belongs to another replica")                                 \
	X(STALE_EPOCH, 309, "stale-epoch", 409, 69,                            \
	  "the epoch is not the replica's current one")                        \
	X(NO_MEMBER, 310, "no-member", 404, 66, "no such member")              \
	X(CHANGE_PENDING, 311, "change-pending", 409, 75,                      \
	  "another membership change is not finished")                         \
	X(SETTINGS, 400, "settings", 422, 78, "the settings have errors")      \
	X(IO, 401, "io", 500, 74, "a file or socket operation failed")         \
	X(LOCKED, 402, "locked", 500, 75,                                      \
	  "the data folder is in use by another process")                      \
	X(FOREIGN_FOLDER, 403, "foreign-folder", 500, 78,                      \
	  "the data folder belongs to another cluster or VM")                  \
	X(FORMAT, 404, "format", 500, 78,                                      \
	  "the data folder has a format this build cannot read")               \
	X(DAMAGED, 405, "damaged", 500, 74,                                    \
	  "stored data is damaged before its end")                             \
	X(DISK_FULL, 406, "disk-full", 500, 74, "no space left on the disk")   \
	X(PEER_AUTH, 500, "peer-auth", 403, 77,                                \
	  "the peer did not prove the cluster key")                            \
	X(PEER_FORMAT, 501, "peer-format", 400, 76,                            \
	  "a peer's record could not be decoded")                              \
	X(TIMEOUT, 502, "timeout", 504, 75, "no answer in time")

enum rd_result {
#define RD_RESULT_ENUM(sym, code, name, http, exits, text) RD_##sym = (code),
	RD_RESULT_TABLE(RD_RESULT_ENUM)
#undef RD_RESULT_ENUM
};

/** One row of the table. */
struct rd_result_info {
	enum rd_result code;
	const char *name;
	int http_status;
	int exit_status;
	const char *text;
};

/** Returns the row of a code, or that of RD_INTERNAL for an unknown code. */
const struct rd_result_info *rd_result_info(int code);

/** Returns the i-th row of the table, or NULL past its end. */
const struct rd_result_info *rd_result_row(int i);

#endif
