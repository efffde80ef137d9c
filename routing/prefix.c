#include <xxhash.h>

#include <radishdeal/prefix.h>

uint32_t prefix_hash(const char *text, size_t size, uint64_t *out, uint32_t max)
{
	uint64_t hash = 0;
	uint32_t n = 0;

	for (; size >= PREFIX_BLOCK_BYTES && n < max;
	     size -= PREFIX_BLOCK_BYTES, text += PREFIX_BLOCK_BYTES) {
		hash = XXH64(text, PREFIX_BLOCK_BYTES, hash);
		/* Endpoints report hashes as JSON integers: 63 bits. */
		out[n++] = hash >> 1;
	}
	return n;
}
