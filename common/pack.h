/**
 * @file
 * Compression of byte strings with zlib. Any thread may call.
 */
#ifndef COMMON_PACK_H
#define COMMON_PACK_H

#include <stddef.h>

#include <glib.h>

/** Compresses at the fastest level. Returns NULL if out of memory. */
GBytes *pack(const void *data, size_t size);

/**
 * Decompresses the output of pack(), `size` being the original size in bytes.
 * Returns NULL if the data is damaged or does not have that size, if `size`
 * exceeds UNPACKED_BYTES_MAX, or if out of memory.
 */
GBytes *unpack(const void *packed, size_t packed_size, size_t size);

#define UNPACKED_BYTES_MAX (64u << 20)

#endif
