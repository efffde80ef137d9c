/**
 * @file
 * Checksummed records in files: little-endian size, type and xxHash64 of both
 * and the payload, then the payload. Any thread may call.
 */
#ifndef STORAGE_RECORD_H
#define STORAGE_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

enum record_type {
	RECORD_META = 1,
	RECORD_STATE = 2,
	RECORD_ENTRY = 3,
	RECORD_TRUNCATE = 4, /* payload: index as XDR */
	RECORD_SNAPSHOT = 5,
	RECORD_RESET = 6, /* entries before this record are void */
};

#define RECORD_HEADER_BYTES 16u
#define RECORD_PAYLOAD_MAX (80u * 1024 * 1024)

/** A record found in a file's bytes. */
struct record {
	enum record_type type;
	const uint8_t *payload;
	uint32_t size;
};

/** Appends a record to a buffer. */
void record_append(GByteArray *out, enum record_type type, GBytes *payload);

/** Reads the record at an offset and moves it on; false if none is whole. */
bool record_read(const uint8_t *data, size_t size, size_t *offset,
		 struct record *record);

/** Whether any whole record starts behind an offset. */
bool record_exists_after(const uint8_t *data, size_t size, size_t offset);

#endif
