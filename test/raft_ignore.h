/**
 * @file
 * Callbacks of the consensus core for tests that look at some of them only.
 */
#ifndef TEST_RAFT_IGNORE_H
#define TEST_RAFT_IGNORE_H

#include <radishdeal/raft.h>

/** Returns callbacks that do nothing, for the caller to replace some. */
struct raft_callbacks raft_ignore(void *ctx);

#endif
