/**
 * @file
 * Checksummed records in files. A record is the payload size, the type, the
 * xxHash64 of these two and the payload (all little-endian), then the payload.
 * The functions are thread-safe.
 */
#ifndef STORAGE_RECORD_H
#define STORAGE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum record_type {
	RECORD_META = 1,
	RECORD_HARD_STATE = 2,
	RECORD_ENTRY = 3,
	RECORD_TRUNCATE = 4, /* payload: first discarded index, as XDR */
	RECORD_SNAPSHOT = 5,
	RECORD_RESET = 6, /* discards all entries before this record */
};

#define RECORD_HEADER_BYTES 16u
#define RECORD_PAYLOAD_MAX (80u * 1024 * 1024)

/** A decoded record; the payload points into the file's data. */
struct record {
	enum record_type type;
	const uint8_t *payload;
	uint32_t size;
};

/** Encodes a record and appends it to a buffer. */
void record_append(GByteArray *out, enum record_type type, GBytes *payload);

/**
 * Decodes the record at *offset and advances *offset past it. Returns false,
 * with *offset unchanged, if the record is truncated or its checksum is wrong.
 */
bool record_read(const uint8_t *data, size_t size, size_t *offset,
		 struct record *record);

/** Whether a valid record starts at or after an offset. */
bool record_exists_from(const uint8_t *data, size_t size, size_t offset);

#endif
