/**
 * @file
 * Hashes of prompt prefixes, by which endpoints report the contents of their
 * prefix caches.
 *
 * The prompt is split into blocks of PREFIX_BLOCK_BYTES. The hash of a block
 * covers all preceding blocks as well. May be called from any thread.
 */
#ifndef RADISHDEAL_PREFIX_H
#define RADISHDEAL_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#define PREFIX_BLOCK_BYTES 256

/**
 * Writes the hashes of the first `max` complete blocks to `out` and returns
 * their number. Each hash is less than 2^63.
 */
uint32_t prefix_hash(const char *text, size_t size, uint64_t *out,
		     uint32_t max);

#endif
