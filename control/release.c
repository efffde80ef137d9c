#include "control/release.h"

uint64_t release_epoch(const struct vm_state *held,
		       const struct vm_report *report)
{
	return report->replica == held->replica ? report->epoch : held->epoch;
}

bool release_confirmed(const struct vm_state *held,
		       const struct vm_report *report, uint64_t released_epoch)
{
	return released_epoch >= held->epoch &&
	       report->replica != held->replica;
}
