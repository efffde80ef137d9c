/**
 * @file
 * Hashes of client accounts' keys, which stand in for the keys themselves.
 * Any thread may call.
 */
#ifndef COMMON_KEY_HASH_H
#define COMMON_KEY_HASH_H

#include <stdint.h>

#include <glib.h>

#define KEY_HASH_BYTES 32

/** SHA-256 of a key, which ends with a NUL that is not hashed. */
void key_hash_compute(const char *key, uint8_t hash[KEY_HASH_BYTES]);

/** For hash tables whose keys are KEY_HASH_BYTES each. */
guint key_hash_code(gconstpointer hash);
gboolean key_hash_equal(gconstpointer a, gconstpointer b);

#endif
