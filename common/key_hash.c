#include <string.h>

#include "common/key_hash.h"

void key_hash_compute(const char *key, uint8_t hash[KEY_HASH_BYTES])
{
	GChecksum *checksum = g_checksum_new(G_CHECKSUM_SHA256);
	gsize size = KEY_HASH_BYTES;

	g_checksum_update(checksum, (const guchar *)key, -1);
	g_checksum_get_digest(checksum, hash, &size);
	g_checksum_free(checksum);
}

guint key_hash_code(gconstpointer hash)
{
	guint n;

	/* Any bytes of a SHA-256 hash are uniformly distributed. */
	memcpy(&n, hash, sizeof(n));
	return n;
}

gboolean key_hash_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, KEY_HASH_BYTES);
}
