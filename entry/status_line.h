/**
 * @file
 * The status lines of a response, as they arrive: whether each has a status of
 * three digits, interim responses included.
 *
 * evhttp reads a status as far as it looks like a number, of any length, so
 * that what isn't one may become 200. It keeps no status line, so these bytes
 * are read apart from it. One thread owns a scan.
 */
#ifndef ENTRY_STATUS_LINE_H
#define ENTRY_STATUS_LINE_H

#include <stdbool.h>
#include <stddef.h>

/** "HTTP/1.1 200" and the character after it. */
#define STATUS_LINE_START 13

/** The part of a head that was read; zeroed before the first bytes. */
struct status_line_scan {
	char start[STATUS_LINE_START]; /* of the line, without its end */
	size_t line_bytes;	       /* of the line so far */
	bool in_fields;		       /* the status line is complete */
	bool interim;		       /* another status line follows */
	bool done;		       /* the final head is complete */
	bool malformed;		       /* one of the status lines is */
};

/** Reads the next bytes; those after the final head are ignored. */
void status_line_read(struct status_line_scan *scan, const char *data,
		      size_t size);

#endif
