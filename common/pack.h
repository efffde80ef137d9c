/**
 * @file
 * Compressed byte strings, by zlib. Any thread may call.
 */
#ifndef COMMON_PACK_H
#define COMMON_PACK_H

#include <stddef.h>

#include <glib.h>

/** Compresses, for speed rather than size. NULL if memory does not suffice. */
GBytes *pack(const void *data, size_t size);

/**
 * Restores what pack() made of `size` bytes. NULL if it is not that, or if
 * `size` is beyond UNPACKED_BYTES_MAX.
 */
GBytes *unpack(const void *packed, size_t packed_size, size_t size);

#define UNPACKED_BYTES_MAX (64u << 20)

#endif
