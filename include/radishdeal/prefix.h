/**
 * @file
 * Hashes of a prompt's prefixes, by which endpoints tell what they cache.
 *
 * A prompt's text is cut into parts of PREFIX_BLOCK_BYTES; the hash of a part
 * covers all parts before it too. Any thread may call.
 */
#ifndef RADISHDEAL_PREFIX_H
#define RADISHDEAL_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#define PREFIX_BLOCK_BYTES 256

/** Fills up to `max` hashes, each below 2^63; returns how many. */
uint32_t prefix_hash(const char *text, size_t size, uint64_t *out,
		     uint32_t max);

#endif
