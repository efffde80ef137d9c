/*
 * XDR types of the messages between processes, the commands of the replicated
 * log and the stored files. The generated files are committed; `make wire`
 * runs rpcgen again.
 */

const RD_NAME_MAX = 63;
const RD_TEXT_MAX = 65536;
const RD_RESPONSE_MAX = 1048576;
const RD_BLOB_MAX = 67108864;
const RD_SERVICES_MAX = 4096;
const RD_REPLICAS_MAX = 65536;
const RD_MEMBERS_MAX = 32;

/* ---- services ---- */

struct account_spec {
	string name<RD_NAME_MAX>;
	opaque key_sha256[32];
	uint32_t weight;
	uint32_t priority;		/* 0 is the highest */
	uint32_t max_outstanding;	/* at all entries; 0: no limit */
};

struct preset_spec {
	string name<RD_NAME_MAX>;
	uint32_t replicas;
	string model_version<RD_NAME_MAX>;
	bool admit;
};

struct call_pattern {
	string method<15>;
	string path_prefix<255>;
};

/* Timing model of an engine; all zero if unknown. */
struct engine_spec {
	uint32_t step_us;		/* fixed time of a decode step */
	uint32_t step_request_us;	/* added per decoding request */
	uint32_t step_context_ns;	/* added per 1,000 context tokens */
	uint32_t prefill_tokens_per_s;
	uint32_t attention_us_per_m_pairs; /* million token pairs of a prompt */
	uint32_t prefill_chunk_tokens;	/* prompt tokens per step */
	uint32_t steps_per_pass;	/* decode steps in one pass */
	uint32_t time_scale_permille;	/* factor on all times; 0: 1,000 */
	uint32_t kv_cache_tokens;	/* capacity for all requests together */
	uint32_t mean_prompt_tokens;	/* of one request */
	uint32_t mean_output_tokens;
};

struct service_spec {
	string name<RD_NAME_MAX>;
	string pool<RD_NAME_MAX>;	/* of VMs it may use; empty: all VMs */
	bool from_deployment;		/* defined by a deployment document */
	uint32_t share_permille;	/* of the pool; 0: use the preset */
	uint32_t connections_max;	/* per endpoint; 0: no limit */
	engine_spec engine;
	uint32_t is_plain;		/* 0: model service, 1: plain service */
	string model<RD_NAME_MAX>;
	string adapter<RD_NAME_MAX>;
	uint32_t vms_per_replica;
	uint32_t accelerators_per_vm;
	uint32_t cross_domain;		/* 0: never, 1: as a last resort */
	uint32_t downtime_weight;
	uint32_t stranded_weight;
	uint32_t on_control_loss;	/* 0: refuse, 1: keep serving */
	uint32_t slots_per_replica;
	uint32_t deadline_ms;
	uint32_t booking_retention_s;
	uint32_t booking_max;
	preset_spec presets<8>;
	account_spec accounts<256>;
	call_pattern once_only<64>;	/* calls that must not be retried */
};

/* ---- deployments: services, routes and accounts in one document ---- */

enum route_kind {
	ROUTE_IDEMPOTENT = 0,		/* may be retried */
	ROUTE_ONCE = 1,			/* executed at most once */
	ROUTE_STREAM = 2
};

struct split_target {
	string pool<RD_NAME_MAX>;	/* or the name of a plain service */
	uint32_t weight;
};

struct route_spec {
	string name<RD_NAME_MAX>;
	string host<255>;
	string path_prefix<1023>;
	route_kind kind;
	bool resumable;			/* ROUTE_STREAM only */
	bool auth_exempt;		/* no client key required */
	uint32_t timeout_ms;
	uint32_t target_latency_ms;	/* to the first byte of content */
	uint32_t target_gap_ms;		/* longest pause in a stream */
	uint32_t priority;		/* 0 is the highest */
	uint32_t attempts_max;		/* endpoints tried for one request */
	split_target split<64>;
};

struct key_hash {
	opaque sha256[32];
};

struct client_account {
	string name<RD_NAME_MAX>;
	bool has_priority;		/* `priority` overrides the route's */
	uint32_t priority;
	key_hash keys<1024>;
};

struct caller_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms;
	uint32_t idle_ms;
};

struct deployment {
	uint64_t revision;		/* the highest revision is in force */
	uint32_t document_bytes;	/* before compression */
	opaque document<RD_BLOB_MAX>;	/* zlib; not sent to entries */
	caller_limits limits;
	uint32_t weight_loads_per_s;	/* from the weight store; 0: no limit */
	uint32_t weight_loads_max;	/* in parallel; more slow all down */
	service_spec services<RD_SERVICES_MAX>;
	route_spec routes<65536>;
	client_account accounts<65536>;
};

/* ---- commands of the replicated log ---- */

enum command_kind {
	CMD_NOOP = 0,
	CMD_APPLY_SERVICE = 1,
	CMD_SWITCH_PRESET = 2,
	CMD_ROLLBACK = 3,
	CMD_REMOVE_SERVICE = 4,
	CMD_DEPLOY = 5,
	CMD_ASSIGN_REPLICA = 10,
	CMD_RELEASE_REPLICA = 11,
	CMD_FREE_VM = 12,
	CMD_CONFIRM_REPLICA = 13,
	CMD_CLAIM_BOOKING = 20,
	CMD_FINISH_BOOKING = 21,
	CMD_EXPIRE_BOOKINGS = 22
};

struct apply_service {
	service_spec spec;
	string preset<RD_NAME_MAX>;	/* initially in force */
	string text<RD_TEXT_MAX>;	/* TOML as submitted by the operator */
};

struct switch_preset {
	string service<RD_NAME_MAX>;
	string preset<RD_NAME_MAX>;
};

struct rollback_service {
	string service<RD_NAME_MAX>;
	uint64_t to_revision;
};

struct vm_ref {
	string name<RD_NAME_MAX>;
	string address<RD_NAME_MAX>;
	string domain<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	uint32_t accelerators;
};

struct assign_replica {
	uint32_t replica;
	string service<RD_NAME_MAX>;
	uint64_t epoch;			/* higher than all earlier epochs */
	string model_version<RD_NAME_MAX>;
	vm_ref vms<64>;			/* the first is the head VM */
};

struct release_replica {
	uint32_t replica;
	uint64_t epoch;
};

/* Records that under this epoch all VMs were ready and the head VM served. */
struct confirm_replica {
	uint32_t replica;
	uint64_t epoch;
};

struct free_vm {
	string vm<RD_NAME_MAX>;
	uint32_t replica;
	uint64_t epoch;
};

struct claim_booking {
	string service<RD_NAME_MAX>;
	string account<RD_NAME_MAX>;
	string key<255>;
	uint64_t body_hash;
	uint64_t claim_id;		/* unique per entry node */
	uint32_t entry;
};

struct booking_response {
	uint32_t status;
	string content_type<255>;
	opaque body<RD_RESPONSE_MAX>;
};

enum booking_outcome {
	BOOKING_IN_FLIGHT = 0,
	BOOKING_ANSWERED = 1,
	BOOKING_NOT_RUN = 2,
	BOOKING_UNKNOWN = 3
};

struct finish_booking {
	string service<RD_NAME_MAX>;
	string account<RD_NAME_MAX>;
	string key<255>;
	uint64_t claim_id;
	uint32_t entry;
	booking_outcome outcome;
	booking_response response;
};

struct expire_bookings {
	uint32_t dead_entry;		/* node of a failed entry; 0: none */
	uint64_t claim_id_end;		/* claims with lower ids expire */
};

union command_body switch (command_kind kind) {
case CMD_APPLY_SERVICE:
	apply_service apply;
case CMD_SWITCH_PRESET:
	switch_preset preset;
case CMD_ROLLBACK:
	rollback_service rollback;
case CMD_REMOVE_SERVICE:
	string service<RD_NAME_MAX>;
case CMD_DEPLOY:
	deployment deploy;
case CMD_ASSIGN_REPLICA:
	assign_replica assign;
case CMD_RELEASE_REPLICA:
	release_replica release;
case CMD_FREE_VM:
	free_vm freed;
case CMD_CONFIRM_REPLICA:
	confirm_replica confirm;
case CMD_CLAIM_BOOKING:
	claim_booking claim;
case CMD_FINISH_BOOKING:
	finish_booking finish;
case CMD_EXPIRE_BOOKINGS:
	expire_bookings expire;
default:
	void;
};

struct command {
	string change_id<RD_NAME_MAX>;	/* empty: result not recorded */
	string operator_name<RD_NAME_MAX>;
	uint64_t base_revision;		/* of the service; 0: new service */
	int64_t time_ms;		/* wall clock of the proposing node */
	command_body body;
};

struct apply_result {
	int32_t code;			/* enum rd_result */
	/*
	 * New revision, or the current one if rejected. CMD_ASSIGN_REPLICA: the
	 * epoch. CMD_EXPIRE_BOOKINGS: the number of expired bookings.
	 */
	uint64_t revision;
	uint64_t index;			/* log index */
	string text<RD_TEXT_MAX>;	/* errors, one per line */
	booking_outcome outcome;
	booking_response response;
};

/* ---- snapshot of the state ---- */

struct revision_record {
	uint64_t revision;
	int64_t time_ms;
	string change_id<RD_NAME_MAX>;
	string operator_name<RD_NAME_MAX>;
	string description<255>;
	service_spec spec;
	string preset<RD_NAME_MAX>;
	string text<RD_TEXT_MAX>;
};

struct service_state {
	string name<RD_NAME_MAX>;
	uint64_t revision;
	bool removed;
	service_spec spec;
	string preset<RD_NAME_MAX>;
	string text<RD_TEXT_MAX>;
	revision_record history<4096>;
};

struct change_record {
	string change_id<RD_NAME_MAX>;
	uint64_t fingerprint;
	apply_result result;
};

struct replica_state {
	assign_replica assign;
	bool released;
	bool confirmed;			/* was healthy under its epoch */
};

struct vm_state {
	string name<RD_NAME_MAX>;
	uint32_t replica;
	uint64_t epoch;
	bool releasing;
};

struct booking_state {
	claim_booking claim;
	booking_outcome outcome;
	int64_t time_ms;
	booking_response response;
};

struct state_image {
	uint64_t index;
	uint64_t last_epoch;
	int64_t time_ms;
	deployment deployed<1>;
	service_state services<RD_SERVICES_MAX>;
	change_record changes<262144>;
	replica_state replicas<RD_REPLICAS_MAX>;
	vm_state vms<262144>;
	booking_state bookings<1048576>;
};

/* ---- between processes ---- */

struct hello_request {
	string cluster<RD_NAME_MAX>;
	uint32_t format;
	uint32_t node;
	uint64_t incarnation;
	opaque nonce[16];
};

struct hello_reply {
	int32_t code;
	uint32_t node;
	opaque nonce[16];
	opaque proof[32];
};

struct handshake_proof {
	opaque proof[32];
};

/* Requests of entries that are outstanding at a replica. */
struct replica_load {
	uint32_t replica;
	uint64_t epoch;
	uint32_t requests;
	uint32_t last_byte_age_ms;	/* since the latest byte received */
};

/* Recent demand for a service at one entry. */
struct service_demand {
	string service<RD_NAME_MAX>;
	uint32_t requests_per_ks;	/* arrivals per 1,000 s */
	uint32_t prompt_tokens;		/* mean per request */
};

/* The end of a replica while it served requests with a certain prompt part. */
struct replica_end {
	uint32_t replica;
	uint64_t epoch;
	uint32_t age_ms;
	bool late;			/* the answer was long under way */
	bool cleared;			/* the part succeeded afterwards */
};

struct part_record {
	uint64_t part;
	uint32_t success_age_ms;	/* of the last one; 0xffffffff: none */
	uint32_t share_log2;	/* under 2^N of 10,000 successes have it */
	replica_end ends<16>;
};

struct poll_request {
	uint32_t node;
	uint64_t incarnation;
	uint64_t member_id;		/* of its data folder; 0: none */
	uint64_t applied_index;
	string callers_address<RD_NAME_MAX>;
	string endpoints_address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	uint32_t free_permille;		/* unused capacity of the entry */
	bool draining;
	replica_load loads<65536>;	/* requests dispatched by this entry */
	service_demand demands<4096>;
	part_record parts<64>;		/* changed since the last poll */
	uint64_t parts_source;		/* of the last reply; 0: none */
	uint64_t parts_cursor;		/* of the last reply */
};

struct indexed_command {
	uint64_t index;
	command cmd;
};

struct entry_info {
	uint32_t node;
	string callers_address<RD_NAME_MAX>;
	string endpoints_address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	uint32_t free_permille;
	bool draining;
};

struct poll_reply {
	int32_t code;
	uint32_t leader;		/* 0: unknown */
	uint64_t term;
	uint64_t commit_index;
	uint32_t lease_ms;
	opaque snapshot<RD_BLOB_MAX>;	/* zlib; empty if deltas suffice */
	uint32_t snapshot_bytes;	/* before compression */
	indexed_command deltas<4096>;
	entry_info entries<1024>;
	uint32_t control_nodes<64>;	/* node ids of the consensus group */
	replica_load loads<65536>;	/* sums over all other entries */
	part_record parts<64>;		/* changed since the request's cursor */
	uint64_t parts_source;		/* id of the responder's records */
	uint64_t parts_cursor;		/* the change up to which `parts` goes */
};

struct propose_reply {
	int32_t code;			/* outcome of proposing */
	uint32_t leader;
	apply_result result;
};

struct load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t step_us;		/* measured time of a decode step */
};

typedef string weights_name<RD_NAME_MAX>;

struct vm_report {
	string name<RD_NAME_MAX>;
	string address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	string domain<RD_NAME_MAX>;
	string service<RD_NAME_MAX>;	/* plain services only */
	string pool<RD_NAME_MAX>;	/* model VMs only; empty: any pool */
	uint32_t slots;			/* requests; 0: not announced */
	uint32_t accelerators;
	uint64_t incarnation;
	uint64_t sequence;		/* number of the announcement */
	bool checks_fencing;
	bool ready;
	bool leaving;
	bool serving;			/* head VM: accepts requests */
	bool broken;			/* head VM: replica lost another VM */
	uint32_t replica;		/* assigned; 0: none */
	uint64_t epoch;
	uint64_t fencing_token;		/* highest accepted */
	string model<RD_NAME_MAX>;	/* loaded weights */
	string adapter<RD_NAME_MAX>;
	string model_version<RD_NAME_MAX>;
	weights_name staged<8>;		/* models on its local disk */
	load_report load;
};

typedef string vm_name<RD_NAME_MAX>;

struct digest {
	uint32_t monitor_node;		/* receives the VMs' announcements */
	uint64_t incarnation;
	uint64_t sequence;
	bool full;			/* `changed_vms` lists all VMs */
	vm_report changed_vms<65536>;
	vm_name lost_vms<65536>;
};

/* ---- consensus ---- */

struct member {
	uint64_t id;			/* of its data folder; never reused */
	uint32_t node;			/* id in the settings */
	bool voter;
	string address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
};

struct member_config {
	member members<RD_MEMBERS_MAX>;
};

enum raft_kind {
	RAFT_PRE_VOTE = 1,
	RAFT_PRE_VOTE_REPLY = 2,
	RAFT_VOTE = 3,
	RAFT_VOTE_REPLY = 4,
	RAFT_APPEND = 5,
	RAFT_APPEND_REPLY = 6,
	RAFT_SNAPSHOT = 7,
	RAFT_SNAPSHOT_REPLY = 8,
	RAFT_TIMEOUT_NOW = 9
};

enum raft_entry_kind {
	RAFT_ENTRY_NOOP = 0,
	RAFT_ENTRY_COMMAND = 1,
	RAFT_ENTRY_CONFIG = 2
};

struct raft_wire_entry {
	uint64_t index;
	uint64_t term;
	raft_entry_kind kind;
	opaque data<RD_BLOB_MAX>;
};

struct raft_message {
	raft_kind kind;
	uint64_t from;
	uint64_t to;
	uint64_t term;
	uint64_t log_index;
	uint64_t log_term;
	uint64_t commit_index;
	bool granted;
	bool leadership_transfer;	/* vote: the old leader asked for it */
	uint64_t next_index_hint;	/* after a rejected append */
	int64_t sent_ms;		/* leader's clock, echoed */
	raft_wire_entry entries<1024>;
	uint64_t chunk_offset;		/* in the snapshot */
	uint64_t snapshot_bytes;
	member_config config;		/* at the snapshot's index */
	opaque chunk<1048576>;
};

/* ---- stored files ---- */

struct folder_meta {
	uint32_t format;
	string cluster<RD_NAME_MAX>;
	uint32_t node;
	uint64_t member_id;		/* in the consensus group */
	uint64_t incarnation;		/* grows at each start */
};

struct stored_hard_state {
	uint64_t term;
	uint64_t voted_for;		/* member id; 0: none */
};

struct stored_snapshot {
	uint64_t index;
	uint64_t term;
	member_config config;
	opaque data<RD_BLOB_MAX>;
};
