#include <string.h>

#include <xxhash.h>

#include "storage/record.h"

static uint32_t get32(const uint8_t *at)
{
	return (uint32_t)at[0] | (uint32_t)at[1] << 8 | (uint32_t)at[2] << 16 |
	       (uint32_t)at[3] << 24;
}

static void put32(uint8_t *at, uint32_t n)
{
	for (int i = 0; i < 4; i++)
		at[i] = (uint8_t)(n >> (8 * i));
}

static uint64_t checksum(const uint8_t *header, const uint8_t *payload,
			 size_t size)
{
	return XXH64(payload, size, XXH64(header, 8, 0));
}

void record_append(GByteArray *out, enum record_type type, GBytes *payload)
{
	uint8_t header[RECORD_HEADER_BYTES];
	gsize size;
	const uint8_t *data = g_bytes_get_data(payload, &size);
	uint64_t sum;

	put32(header, (uint32_t)size);
	put32(header + 4, type);
	sum = checksum(header, data, size);
	put32(header + 8, (uint32_t)sum);
	put32(header + 12, (uint32_t)(sum >> 32));
	g_byte_array_append(out, header, sizeof(header));
	if (size)
		g_byte_array_append(out, data, (guint)size);
}

bool record_read(const uint8_t *data, size_t size, size_t *offset,
		 struct record *record)
{
	const uint8_t *header = data + *offset;
	size_t left = size - *offset;
	uint64_t sum;

	if (left < RECORD_HEADER_BYTES)
		return false;
	record->size = get32(header);
	record->type = (enum record_type)get32(header + 4);
	record->payload = header + RECORD_HEADER_BYTES;
	if (record->size > RECORD_PAYLOAD_MAX ||
	    record->size > left - RECORD_HEADER_BYTES)
		return false;
	sum = (uint64_t)get32(header + 12) << 32 | get32(header + 8);
	if (sum != checksum(header, record->payload, record->size))
		return false;
	*offset += RECORD_HEADER_BYTES + record->size;
	return true;
}

bool record_exists_from(const uint8_t *data, size_t size, size_t offset)
{
	struct record record;

	for (size_t at = offset; at + RECORD_HEADER_BYTES <= size; at++) {
		size_t end = at;
		uint32_t type = get32(data + at + 4);

		if (type < RECORD_META || type > RECORD_RESET)
			continue;
		if (record_read(data, size, &end, &record))
			return true;
	}
	return false;
}
