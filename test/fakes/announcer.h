/**
 * @file
 * What the stand-ins for endpoints share: announcing, and a control port.
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
	const char *const
		*entries; /* first addresses to try, NULL at the end */
	const char *key;
	int first_delay_ms;
	/** Returns the announcement as a new object; NULL to stay silent. */
	json_t *(*body)(void *ctx);
	void *ctx;
};

struct announcer *announcer_create(const struct announcer_opts *opts);
void announcer_destroy(struct announcer *announcer);

/** Announces without waiting for the next turn. */
void announcer_now(struct announcer *announcer);

/** Opens an HTTP server on `host`, port by the kernel; sets the address. */
struct evhttp *fake_listen(struct event_base *base, const char *host,
			   void (*handle)(struct evhttp_request *req,
					  void *ctx),
			   void *ctx, char *address, size_t size);

/** Reads the key in a file's first line; exits if it cannot. */
char *fake_read_key(const char *path);

/** Writes the address of the control port where tests look for it. */
void fake_tell_address(const char *path, const char *address);

/** Appends one line of JSON to a log; takes the reference. */
void fake_log(FILE *log, json_t *line);

int64_t fake_now_us(void);

#endif
