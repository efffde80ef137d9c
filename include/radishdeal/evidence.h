/**
 * @file
 * Failure detection: liveness and status of VMs.
 *
 * Each VM sends periodic announcements (heartbeats) to two nodes, its monitors
 * ("home" in settings and messages). Every monitor sends digests to all other
 * nodes. A digest holds only what has changed; its arrival renews the liveness
 * of the VMs that it does not mention. A view merges the digests of all
 * monitors.
 *
 * The module does no I/O and takes the time as an argument. An instance must
 * be used from one thread only.
 */
#ifndef RADISHDEAL_EVIDENCE_H
#define RADISHDEAL_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire/radishdeal.h"

/** How long received response bytes count as proof of a healthy replica. */
#define EVIDENCE_STREAM_VALID_MS 600

struct monitor;

struct monitor_opts {
	uint32_t node;
	uint64_t incarnation;
	int32_t silence_ms; /* a VM silent for longer is lost */
};

struct monitor *monitor_create(const struct monitor_opts *opts);
void monitor_destroy(struct monitor *monitor);

/**
 * Handles an announcement; outdated ones are ignored. Returns true if the VM's
 * status has changed (readiness, leaving, assignment, weights, ...) and a
 * digest should be sent at once; false if at most its load has.
 */
bool monitor_handle_announcement(struct monitor *monitor, int64_t now_ms,
				 const struct vm_report *report);

/**
 * Marks a VM as leaving. `known` is its last report received through other
 * monitors, or NULL. Returns false if the VM is already marked or unknown.
 */
bool monitor_mark_leaving(struct monitor *monitor, int64_t now_ms,
			  const struct vm_report *known, const char *name);

/**
 * Makes the next digest: the changes since the last one, or the status of all
 * VMs if `full`. Clear it with monitor_digest_clear().
 */
void monitor_make_digest(struct monitor *monitor, int64_t now_ms, bool full,
			 struct digest *digest);
void monitor_digest_clear(struct digest *digest);

/** Returns the number of VMs that announce themselves to this monitor. */
uint32_t monitor_vm_count(const struct monitor *monitor);

struct view;

struct view_opts {
	int32_t silence_ms; /* timeout of a monitor's digests */
};

/** State of a VM in a view. */
struct view_vm {
	struct vm_report report;
	int64_t heard_ms;	    /* last evidence that it is alive */
	int64_t fresh_until_ms;	    /* expiry of its liveness if not renewed */
	int64_t alive_since_ms;	    /* start of the current period alive */
	int64_t lost_ms;	    /* last loss or suspicion; 0: none */
	uint32_t losses;	    /* number, without suspicions */
	int64_t suspected_until_ms; /* counts as lost until then */
	GArray *monitors;	    /* those that report it alive, private */
};

struct view *view_create(const struct view_opts *opts);
void view_destroy(struct view *view);

/**
 * Merges a digest; outdated ones are ignored. Returns false if there is a gap
 * in the monitor's digests, so that a full one must be requested; the changes
 * in this one are applied in any case.
 */
bool view_merge(struct view *view, int64_t now_ms, const struct digest *digest);

/**
 * Marks VMs as lost whose monitors have all timed out. Must be called at least
 * every 100 ms.
 */
void view_expire(struct view *view, int64_t now_ms);

/** Returns a VM by name, alive or lost, or NULL if unknown. */
const struct view_vm *view_find(const struct view *view, const char *name);

/** Whether a VM is alive: reported by a monitor in time and not suspected. */
bool view_alive(const struct view *view, const struct view_vm *vm,
		int64_t now_ms);

/** Treats a VM as lost for `for_ms`, regardless of its monitors' reports. */
void view_suspect(struct view *view, const char *name, int64_t now_ms,
		  int64_t for_ms);

/**
 * The first announcements of VMs since they were declared lost, at one monitor.
 * Such an announcement may have been delayed in the network, and its sender may
 * have stopped since.
 */
struct unconfirmed;

struct unconfirmed *unconfirmed_create(void);
void unconfirmed_destroy(struct unconfirmed *unconfirmed);

/**
 * Whether an announcement is to be ignored until another follows. One of a VM
 * that has started anew, or that says that it leaves, is not: nothing is sent
 * to a VM that leaves, also if it has stopped.
 */
bool unconfirmed_hold(struct unconfirmed *unconfirmed, const struct view *view,
		      int64_t now_ms, const struct vm_report *report);

/** Calls `visit` for every VM in order of names. */
void view_each(const struct view *view,
	       void (*visit)(void *ctx, const struct view_vm *vm), void *ctx);

/**
 * Returns a number that grows whenever a VM is lost, suspected or alive again,
 * or a newer report of a VM is merged. The end of a suspicion does not count.
 */
uint64_t view_version(const struct view *view);

/** Why a replica cannot serve. */
enum replica_fault {
	REPLICA_HEALTHY,
	REPLICA_VM_UNKNOWN,
	REPLICA_VM_SILENT,
	REPLICA_VM_LEAVING,
	REPLICA_VM_NOT_READY,
	REPLICA_VM_OTHER_EPOCH,
};

/** Returns the name of a fault as it appears in messages. */
const char *replica_fault_name(enum replica_fault fault);

/**
 * Checks whether a replica is healthy: each of its VMs alive, ready and in the
 * replica's epoch. Until `presumed_until_ms`, VMs without any report yet count
 * as healthy. Sets `faulty_vm` to the VM at fault (borrowed from `replica`), or
 * NULL, and `fresh_until_ms` to when the result expires, 0 if unhealthy.
 */
enum replica_fault view_check_replica(const struct view *view,
				      const struct assign_replica *replica,
				      int64_t now_ms, int64_t presumed_until_ms,
				      const char **faulty_vm,
				      int64_t *fresh_until_ms);

#endif
