#!/usr/bin/env python3
"""Writes docs/CAPACITY.md from bench/results/capacity.txt, or checks it.

usage: make-capacity.py [--check]
"""
import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "bench/results/capacity.txt"
PAGE = ROOT / "docs/CAPACITY.md"

NODES = 540
REPLICAS = 4900
ACCELERATORS = 39000
REQUESTS_S = 67000
TOKENS_S = 15e6
CHANGES_PER_DAY = 20000
DATA_CENTRES = 8
CONTROL_MAX = 13
LIMIT_CPU_US = 11000  # us per second: 1.1% of a core
LIMIT_RSS_MB = 64
LIMIT_BYTES_S = 29000  # sent per second
DAY_S = 86400
MONITORS_PER_VM = 2
ANNOUNCE_S = 0.4
BOOKINGS_PER_DAY = 1000000  # assumed; the requirements give no figure


def read_results():
    slopes = {}
    values = {}
    for line in SOURCE.read_text().splitlines():
        if line.startswith("slope "):
            _, name, slope, intercept, residual, *unit = line.split()
            slopes[name] = (float(slope), float(intercept),
                            float(residual), " ".join(unit))
        elif re.match(r"^[a-z_0-9]+ [-0-9.e+]+ ", line):
            name, value, *_ = line.split()
            values[name] = float(value)
    return slopes, values


def verdict(value, limit, missing=""):
    """Compares with the limit; `missing` is what would have to be built."""
    if value <= limit:
        return "met"
    return f"met only by {missing}" if missing else "not met"


def render_page():
    slopes, values = read_results()
    vms = ACCELERATORS  # upper bound: one accelerator per VM
    vms_per_node = vms * MONITORS_PER_VM / NODES
    # Measured with four nodes, so each monitors half of the VMs.
    cpu_per_vm = slopes["entry_cpu_by_endpoints"][0] * 4 / MONITORS_PER_VM
    rss_per_vm = slopes["entry_rss_by_endpoints"][0]
    base_cpu = slopes["entry_cpu_by_entries"][1]
    cpu_per_peer = slopes["entry_cpu_by_entries"][0]
    bytes_per_peer = slopes["entry_bytes_by_entries"][0]
    bytes_base = slopes["entry_bytes_by_entries"][1]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    rows = []

    def row(role, what, command, slope, total, limit, unit, mechanism, result):
        rows.append(f"| {role} | {what} | {mechanism} | {slope} | "
                    f"{total:,.4g} {unit} | {limit} | {result} | "
                    f"`{command}` |")

    cap_cmd = "make measure WHAT=capacity"
    plan_cmd = "make measure WHAT=placement"
    total = bytes_base + bytes_per_peer * NODES
    row("entry", "bytes/s to every other node", cap_cmd,
        f"{bytes_per_peer:.0f} B/s a node", total, "29,000 B/s", "B/s",
        "each node polls, pings and sends its digest to each other",
        verdict(total, LIMIT_BYTES_S, "relays (not built)"))
    relay = bytes_base + bytes_per_peer * 8
    row("entry behind a relay", "bytes/s to 8 others", cap_cmd,
        f"{bytes_per_peer:.0f} B/s a node", relay, "29,000 B/s", "B/s",
        "tree of relays with 8 links a node: **not built**",
        "would be met; not built" if relay <= LIMIT_BYTES_S else "not met")
    total = base_cpu + cpu_per_peer * NODES
    row("entry", "processor time for every other node", cap_cmd,
        f"{cpu_per_peer:.0f} us/s a node", total / 1e4, "1.1% of a core", "%",
        "as above", verdict(total, LIMIT_CPU_US, "relays (not built)"))
    total = base_cpu + cpu_per_peer * 8
    row("entry behind a relay", "processor time for 8 others", cap_cmd,
        f"{cpu_per_peer:.0f} us/s a node", total / 1e4, "1.1% of a core", "%",
        "as above: **not built**",
        "would be met; not built" if total <= LIMIT_CPU_US else "not met")
    total = cpu_per_vm * vms_per_node
    row("entry as a monitor", f"{vms_per_node:.0f} VMs announcing here", cap_cmd,
        f"{cpu_per_vm:.0f} us/s a VM", total / 1e4, "1.1% of a core", "%",
        "two monitors a VM, an announcement each 400 ms; digests of changes",
        verdict(total, LIMIT_CPU_US,
                "rarer announcements or a cheaper adapter (not built)"))
    total = (slopes["entry_rss_by_endpoints"][1] + rss_per_vm * vms) / 1024
    row("entry", f"memory for a view of all {vms:,} VMs", cap_cmd,
        f"{rss_per_vm:.2f} KB a VM", total, "64 MB", "MB",
        "every entry holds every VM; subsets of the evidence: **not built**",
        verdict(total, LIMIT_RSS_MB,
                "views of a subset of the VMs (not built)"))
    merge = slopes["digest_merge_us_by_vms"][0] * vms * 5 * NODES
    row("entry", "merging digests, each 200 ms, of every monitor", cap_cmd,
        f"{slopes['digest_merge_us_by_vms'][0]:.3f} us a VM known and digest",
        merge / 1e4, "1.1% of a core", "%",
        "a digest refreshes each VM of its monitor by a scan of all VMs",
        verdict(merge, LIMIT_CPU_US,
                "a list of VMs per monitor and aggregated digests (not built)"))
    stream = slopes["entry_rss_by_streams"][0]
    row("entry", "memory of an open stream", cap_cmd,
        f"{stream:.1f} KB a stream",
        stream, "64 KB", "KB", "one connection each way",
        verdict(stream, 64))
    choice = slopes["choice_us_by_replicas_subset64"]
    choice_us = choice[1] + choice[0] * REPLICAS
    row("entry", f"choosing among {REPLICAS:,} replicas", cap_cmd,
        f"{choice[0] * 1000:.2g} us a 1,000 replicas",
        choice_us, "20 us", "us",
        "subset of 64 by rendezvous hashing", verdict(choice_us, 20))
    row("entry", "all entries' choices at 67,000 requests/s, a node", cap_cmd,
        f"{choice_us:.1f} us a request",
        choice_us * REQUESTS_S / NODES / 1e4,
        "1.1% of a core", "%", "as above",
        verdict(choice_us * REQUESTS_S / NODES, LIMIT_CPU_US))
    cpu_change = slopes["node_cpu_by_changes"][0]
    row("control voter, learner", "20,000 changes a day, 4 nodes", cap_cmd,
        f"{cpu_change:.0f} us a change and node",
        cpu_change * changes_per_s / 1e4, "1.1% of a core", "%",
        "one log, group commit; entries receive commands as deltas",
        verdict(cpu_change * changes_per_s, LIMIT_CPU_US))
    bytes_change = slopes["node_bytes_by_changes"][0]
    row("control voter, learner", "bytes of 20,000 changes a day", cap_cmd,
        f"{bytes_change:.0f} B a change and node",
        bytes_change * changes_per_s, "29,000 B/s", "B/s", "as above",
        verdict(bytes_change * changes_per_s, LIMIT_BYTES_S))
    fan_out = bytes_change * 4 / 3 * changes_per_s * NODES
    row("control leader", "the same to 540 entries without relays", cap_cmd,
        f"{bytes_change * 4 / 3:.0f} B a change and entry", fan_out,
        "29,000 B/s", "B/s", "update notice to each, each polls the leader",
        verdict(fan_out, LIMIT_BYTES_S, "relays (not built)"))
    image = slopes["image_bytes_by_bookings"][0]
    total = image * BOOKINGS_PER_DAY / 1e6
    row("booking journal", "a day's 1,000,000 bookings (assumed), as stored",
        cap_cmd, f"{image:.0f} B a booking", total, "64 MB", "MB",
        "one ledger in the consensus group; ledgers by account: **not built**",
        verdict(total, LIMIT_RSS_MB, "ledgers split by account (not built)"))
    apply = slopes["apply_us_by_bookings"][0]
    row("booking journal", "applying them", cap_cmd,
        f"{apply:.1f} us a booking",
        apply * BOOKINGS_PER_DAY / DAY_S / 1e4, "1.1% of a core", "%",
        "two commands a booking, no lock",
        verdict(apply * BOOKINGS_PER_DAY / DAY_S, LIMIT_CPU_US))
    if "plan_ms_at_4900_replicas" in values:
        plan = values["plan_ms_at_4900_replicas"]
        row("placement leader", "one plan at 4,900 replicas, 43,200 VMs",
            plan_cmd, f"{plan:.2f} ms a plan", plan, "10 ms", "ms",
            "counts kept per domain; only unmet needs are examined",
            verdict(plan, 10))
        plans_per_s = (86 + 800) * 4 / DAY_S
        row("placement leader", "plans of 86 failures and 800 restarts a day",
            plan_cmd, f"{plan:.2f} ms a plan", plan * 1000 * plans_per_s / 1e4,
            "1.1% of a core", "%", "four events each",
            verdict(plan * 1000 * plans_per_s, LIMIT_CPU_US))
    full = slopes["digest_full_bytes_by_vms"][0]
    data_centre_vms = vms / DATA_CENTRES
    burst = full * data_centre_vms
    seconds = burst / LIMIT_BYTES_S
    table = "\n".join(rows)
    return f"""# Capacity

Written by `docs/make-capacity.py` from `bench/results/capacity.txt`, which
`make measure WHAT=capacity` (and, for planning, `WHAT=placement`) printed on
one machine with 8 cores; `make check` compares the two. Change neither by
hand.

The size in two years: {NODES} nodes, {REPLICAS:,} replicas,
{ACCELERATORS:,} accelerators, {REQUESTS_S:,} requests and 15 million tokens
a second, {CHANGES_PER_DAY:,} changes of configuration a day in force within 5 s,
2 regions with 4 data centres each. For control a node may spend 1.1% of a
core, 64 MB and 29 KB/s; {CONTROL_MAX} VMs at most are set aside for it.

{REPLICAS:,} replicas that all span 32 VMs would be {REPLICAS * 32:,} VMs, more
than there are accelerators. The sums below use the worst case that fits: as many
VMs as accelerators.

| role | what | mechanism that carries it | slope | sum at size | limit | verdict | command |
|---|---|---|---|---|---|---|---|
{table}

## When a data centre or a region is lost

- A data centre has about {data_centre_vms:,.0f} of the VMs. When it is lost, its
  monitors report each lost VM once, and VMs that had a monitor there learn
  another one from their second monitor's next answer: within one announcement,
  400 ms. The new monitors must report them once: {full:.0f} B a VM,
  {burst / 1e6:.2f} MB in all. Through one link of 29 KB/s that takes {seconds:.0f} s; over
  the monitors of {DATA_CENTRES - 1} data centres, each reporting its own VMs, it is
  {seconds / (NODES - NODES / DATA_CENTRES):.2f} s a node. Sending them to each of 540 entries is
  not possible without relays.
- While two regions are partitioned, each side keeps the VMs that report to it;
  a group of control VMs needs a majority on one side. When the partition heals,
  each monitor's next digest is full, as above:
  {full * vms / 2 / 1e6:.2f} MB are sent between the regions for each entry that
  receives digests directly, and once for each relay.

## Limits that are not met

See the rows above with that verdict. Their common cause: at present every node
exchanges messages with every other node and stores the state of every VM, which
suits 4 nodes but not {NODES}. Relays for
digests and configuration, and views of the subset of VMs that an entry routes
to, are the next mechanisms; the messages (digests by change, deltas by index)
are designed so that a relay can forward them. Tokens: the cost of a token at an
entry is measured by `make measure WHAT=path` and is not in this table.

Not measured: two regions' latency, 13 control VMs, relays. The table has no row
for them.
"""


def main():
    text = render_page()
    if sys.argv[1:] == ["--check"]:
        if PAGE.read_text() != text:
            sys.exit("docs/CAPACITY.md does not match "
                     "bench/results/capacity.txt; run docs/make-capacity.py")
        return
    PAGE.write_text(text)


main()
