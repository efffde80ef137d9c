/**
 * @file
 * A request's way through the processes, told from their logs.
 */
#ifndef CTL_EXPLAIN_H
#define CTL_EXPLAIN_H

/**
 * Prints all lines about a request, what the logs say of its replicas
 * meanwhile, and a verdict. `files` are JSON logs and end with NULL. Returns
 * the exit status: 1 if a file cannot be read or none names the request.
 */
int explain_request(const char *id, char *const *files);

#endif
