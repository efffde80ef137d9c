/**
 * @file
 * Parts that the fakes share: announcements to entries and monitors, an HTTP
 * server, and a log of JSON lines.
 */
#ifndef TEST_FAKES_ANNOUNCER_H
#define TEST_FAKES_ANNOUNCER_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <jansson.h>

struct announcer;

struct announcer_opts {
	struct event_base *base;
	/** Addresses to announce to until one names monitors; NULL at end. */
	const char *const *entries;
	const char *key;
	int first_delay_ms;
	/** Returns the announcement as a new object; NULL to send none. */
	json_t *(*body)(void *ctx);
	void *ctx;
};

struct announcer *announcer_create(const struct announcer_opts *opts);
void announcer_destroy(struct announcer *announcer);

/** Announces at once; the period of the timer goes on. */
void announcer_send_now(struct announcer *announcer);

/**
 * Opens an HTTP server on a port of `host` that the kernel chooses, and writes
 * its address to `address`. Exits on failure.
 */
struct evhttp *fake_listen(struct event_base *base, const char *host,
			   void (*handle)(struct evhttp_request *req,
					  void *ctx),
			   void *ctx, char *address, size_t size);

/** Reads a key file, without white space around it; exits on failure. */
char *fake_read_key(const char *path);

/** Writes the address of the control port to a file, atomically. */
void fake_write_address(const char *path, const char *address);

/** Appends a line of JSON to a log, NULL for none; takes the reference. */
void fake_log(FILE *log, json_t *line);

int64_t fake_now_us(void);

#endif
