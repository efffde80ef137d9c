/**
 * @file
 * SHA-256 hashes of client accounts' API keys, stored in place of the keys. Any
 * thread may call.
 */
#ifndef COMMON_KEY_HASH_H
#define COMMON_KEY_HASH_H

#include <stdint.h>

#include <glib.h>

#define KEY_HASH_BYTES 32

/** Hashes a NUL-terminated key, without its NUL. */
void key_hash_compute(const char *key, uint8_t hash[KEY_HASH_BYTES]);

/** Hash and equality functions for a GHashTable keyed by such hashes. */
guint key_hash_code(gconstpointer hash);
gboolean key_hash_equal(gconstpointer a, gconstpointer b);

#endif
