/**
 * @file
 * XDR encoding and decoding of the types in radishdeal.x.
 *
 * Thread-safe. Strings inside encoded values must not be NULL. A decoded value
 * is released with codec_free().
 */
#ifndef WIRE_CODEC_H
#define WIRE_CODEC_H

#include <stdbool.h>

#include <glib.h>

#include "wire/radishdeal.h"

/**
 * Encodes a value. Returns NULL if it exceeds a bound of its type; the caller
 * logs what is not sent or stored then, and counts it as
 * COUNTER_ENCODINGS_FAILED.
 */
GBytes *codec_encode(xdrproc_t proc,
		     const void *value) G_GNUC_WARN_UNUSED_RESULT;

/**
 * Decodes `data` into `value`, which must be zeroed. Returns false, with the
 * decoded part freed, if the data is invalid or bytes are left over.
 */
bool codec_decode(xdrproc_t proc, const void *data, size_t size, void *value);

/** Like codec_decode(), from a GBytes. */
bool codec_decode_bytes(xdrproc_t proc, GBytes *bytes, void *value);

/**
 * Copies a value deeply into `to`, which must be zeroed. Returns false if it
 * exceeds a bound of its type.
 */
bool codec_copy(xdrproc_t proc, const void *from, void *to);

/** Frees the memory that a value owns and zeroes its `size` bytes. */
void codec_free(xdrproc_t proc, void *value, size_t size);

#define CODEC_ENCODE(type, value) codec_encode((xdrproc_t)xdr_##type, value)
#define CODEC_DECODE(type, bytes, value) \
	codec_decode_bytes((xdrproc_t)xdr_##type, bytes, value)
#define CODEC_COPY(type, from, to) codec_copy((xdrproc_t)xdr_##type, from, to)
#define CODEC_FREE(type, value) \
	codec_free((xdrproc_t)xdr_##type, value, sizeof(struct type))

#endif
