#include <zlib.h>

#include "common/pack.h"

GBytes *pack(const void *data, size_t size)
{
	uLongf packed_size = compressBound(size);
	guint8 *packed = g_try_malloc(packed_size);

	if (packed &&
	    compress2(packed, &packed_size, data, size, Z_BEST_SPEED) == Z_OK)
		return g_bytes_new_take(packed, packed_size);
	g_free(packed);
	return NULL;
}

GBytes *unpack(const void *packed, size_t packed_size, size_t size)
{
	uLongf unpacked = size;
	guint8 *data;

	if (size > UNPACKED_BYTES_MAX)
		return NULL;
	/* zlib rejects an empty output buffer. */
	data = g_try_malloc(size + 1);
	if (data && uncompress(data, &unpacked, packed, packed_size) == Z_OK &&
	    unpacked == size)
		return g_bytes_new_take(data, size);
	g_free(data);
	return NULL;
}
