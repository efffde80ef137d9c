/**
 * @file
 * Liveness of VMs: what home entries hear and what everybody concludes.
 *
 * A VM announces itself to two home entries. A home sends digests, which
 * carry only what changed and, by arriving, say that all else is as before. A
 * view merges the digests of all homes. No clock or socket inside; one thread
 * owns an instance.
 */
#ifndef RADISHDEAL_EVIDENCE_H
#define RADISHDEAL_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "wire/radishdeal.h"

/** Bytes of an answer show for so long that a replica is whole. */
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
 * Takes an announcement. Returns true if it changes what others must know at
 * once (readiness, leaving, what is held), not just the load.
 */
bool monitor_handle_announcement(struct monitor *monitor, int64_t now_ms,
				 const struct vm_report *report);

/**
 * Takes a VM's word that it is about to go. `known` is its last report as
 * heard by other homes, NULL for none. False if it was known to leave, or if
 * nothing is known of it.
 */
bool monitor_mark_leaving(struct monitor *monitor, int64_t now_ms,
			  const struct vm_report *known, const char *name);

/**
 * Makes the next digest: changes since the last one, or everything if `full`.
 * The caller frees it with monitor_digest_clear().
 */
void monitor_make_digest(struct monitor *monitor, int64_t now_ms, bool full,
			 struct digest *digest);
void monitor_digest_clear(struct digest *digest);

/** How many VMs announce here. */
uint32_t monitor_vm_count(const struct monitor *monitor);

struct view;

struct view_opts {
	int32_t silence_ms; /* a home silent for longer vouches for nothing */
};

/** What a view knows of a VM. */
struct view_vm {
	struct vm_report report;
	int64_t fresh_until_ms; /* unless heard of again */
	int64_t alive_since_ms; /* alive without a break since */
	int64_t lost_ms;	/* when it was last found lost, 0 if never */
	uint32_t losses;	/* how often it was lost */
	int64_t suspected_until_ms; /* not taken for alive until then */
	GArray *monitors;	    /* node numbers that vouch for it */
};

struct view *view_create(const struct view_opts *opts);
void view_destroy(struct view *view);

/**
 * Merges a digest. Returns false if digests are missing before it, so that a
 * full one must be asked for; its changes are taken all the same.
 */
bool view_merge(struct view *view, int64_t now_ms, const struct digest *digest);

/** Notices VMs whose homes fell silent; call at least each 100 ms. */
void view_expire(struct view *view, int64_t now_ms);

/** Returns a VM by name, lost or not, or NULL. */
const struct view_vm *view_find(const struct view *view, const char *name);

/** Whether a VM is alive by fresh evidence. */
bool view_alive(const struct view *view, const struct view_vm *vm,
		int64_t now_ms);

/** Takes a VM for lost for a while, whatever its homes say. */
void view_suspect(struct view *view, const char *name, int64_t now_ms,
		  int64_t for_ms);

/** Visits every VM, by name. */
void view_each(const struct view *view,
	       void (*visit)(void *ctx, const struct view_vm *vm), void *ctx);

/** Counts changes of liveness or of reports; grows. */
uint64_t view_version(const struct view *view);

/** Why a replica may not serve. */
enum replica_fault {
	REPLICA_HEALTHY,
	REPLICA_VM_UNKNOWN,
	REPLICA_VM_SILENT,
	REPLICA_VM_LEAVING,
	REPLICA_VM_NOT_READY,
	REPLICA_VM_OTHER_EPOCH,
};

/** Returns a word for a fault. */
const char *replica_fault_name(enum replica_fault fault);

/**
 * Judges whether a replica is whole: each of its VMs alive, ready and under
 * the replica's epoch. VMs of which nothing was heard yet count as such until
 * `presumed_until_ms`. Sets the VM at fault (or NULL) and until when the
 * evidence serves.
 */
enum replica_fault view_check_replica(const struct view *view,
				      const struct assign_replica *replica,
				      int64_t now_ms, int64_t presumed_until_ms,
				      const char **culprit,
				      int64_t *fresh_until_ms);

#endif
