/**
 * @file
 * Clients on threads of their own that send requests with prompt parts, one
 * after the other, until they are stopped. All share the key and the first part
 * of the prompt, their path and their body.
 */
#ifndef TEST_PART_CLIENTS_H
#define TEST_PART_CLIENTS_H

#include <glib.h>

struct part_clients;

struct part_clients_opts {
	char *const *entries; /* addresses; `per_entry` clients at each */
	int per_entry;
	const char *part; /* in the middle of each prompt; NULL: any */
	/** All send the same request, without a prompt, to this path; or NULL.
	 */
	const char *path;
	int pause_ms;	/* between a client's requests */
	int timeout_ms; /* after it a client leaves */
};

struct part_clients *part_clients_start(const struct part_clients_opts *opts);
void part_clients_stop(struct part_clients *clients);

/** Requests since the last call of part_clients_reset(). */
struct part_counts {
	int sent, served; /* `sent` have their answer */
	int refused;	  /* 503 or 429 */
	int failed;	  /* 500, as an endpoint answers */
	int mixed; /* an endpoint's seal with a status that none of them gives
		    */
};

void part_clients_reset(struct part_clients *clients);
void part_clients_count(struct part_clients *clients,
			struct part_counts *counts);

#endif
