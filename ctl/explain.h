/**
 * @file
 * Reconstructs the path of a request through the processes from their logs.
 */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

/**
 * Prints all log lines about a request, the lines about its replicas and their
 * VMs from the same time, and the outcome. `files` are JSON logs and end with
 * NULL. Returns the exit status: 1 if a file cannot be read or no line is about
 * the request.
 */
int explain_request(const char *id, char *const *files);

#endif
