/*
 * What the system's processes say to each other, and what its log holds.
 * The generated files are committed; `make wire` runs rpcgen again.
 */

const RD_NAME_MAX = 63;
const RD_TEXT_MAX = 65536;
const RD_RESPONSE_MAX = 1048576;
const RD_BLOB_MAX = 67108864;

/* ---- services ---- */

struct account_spec {
	string name<RD_NAME_MAX>;
	opaque key_sha256[32];
	uint32_t weight;
	uint32_t priority;		/* 0 is served first */
	uint32_t max_outstanding;	/* over all entries; 0 is no limit */
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

/* How a model engine spends its time; all zero where it is not known. */
struct engine_spec {
	uint32_t step_us;		/* of a decoding step, however full */
	uint32_t step_request_us;	/* more for each request decoding */
	uint32_t step_context_ns;	/* more for each 1,000 context tokens */
	uint32_t prefill_tokens_per_s;		/* prompt tokens */
	uint32_t attention_us_per_m_pairs;		/* per million pairs of prompt tokens */
	uint32_t prefill_chunk_tokens;		/* of a prompt, read in one step */
	uint32_t steps_per_pass;		/* steps in a pass */
	uint32_t time_scale_permille;		/* factor on all times */
	uint32_t kv_cache_tokens;		/* of all requests together */
	uint32_t mean_prompt_tokens;		/* mean tokens of a request */
	uint32_t mean_output_tokens;
};

struct service_spec {
	string name<RD_NAME_MAX>;
	string pool<RD_NAME_MAX>;	/* VMs it may use; empty is all */
	bool from_deployment;			/* came with a deployment */
	uint32_t share_permille;	/* of the pool's VMs; 0: see preset */
	uint32_t connections_max;	/* to one endpoint; 0 is no limit */
	engine_spec engine;
	uint32_t is_plain;			/* 0 a model service, 1 a plain one */
	string model<RD_NAME_MAX>;
	string adapter<RD_NAME_MAX>;
	uint32_t vms_per_replica;
	uint32_t accelerators_per_vm;
	uint32_t cross_domain;		/* 0 never, 1 as a last resort */
	uint32_t downtime_weight;
	uint32_t stranded_weight;
	uint32_t on_control_loss;	/* 0 refuse, 1 serve */
	uint32_t slots_per_replica;
	uint32_t deadline_ms;
	uint32_t booking_retention_s;
	uint32_t booking_max;
	preset_spec presets<8>;
	account_spec accounts<256>;
	call_pattern once_only<64>;	/* calls that may not be repeated */
};

/* ---- deployments: services, routes and accounts as one document ---- */

enum route_kind {
	ROUTE_IDEMPOTENT = 0,		/* may be repeated */
	ROUTE_ONCE = 1,			/* runs at most once */
	ROUTE_STREAM = 2
};

struct split_target {
	string pool<RD_NAME_MAX>;	/* or a plain service's name */
	uint32_t weight;
};

struct route_spec {
	string name<RD_NAME_MAX>;
	string host<255>;
	string path_prefix<1023>;
	route_kind kind;
	bool resumable;			/* streams only */
	bool auth_exempt;
	uint32_t timeout_ms;
	uint32_t target_latency_ms;		/* to the first byte that counts */
	uint32_t target_gap_ms;		/* longest good pause of a stream */
	uint32_t priority;		/* 0 is served first */
	uint32_t attempts_max;		/* endpoints one request may reach */
	split_target split<64>;
};

struct key_hash {
	opaque sha256[32];
};

struct client_account {
	string name<RD_NAME_MAX>;
	bool has_priority;		/* goes before the route's */
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
	uint64_t revision;		/* the highest is in force */
	uint32_t document_bytes;	/* before compression */
	opaque document<RD_BLOB_MAX>;	/* as it came, zlib; not for entries */
	caller_limits limits;
	uint32_t weight_loads_per_s;		/* of the weight store; 0 is no limit */
	uint32_t weight_loads_max;		/* more only slow each other */
	service_spec services<4096>;
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
	string preset<RD_NAME_MAX>;	/* in force at first */
	string text<RD_TEXT_MAX>;	/* the operator's TOML */
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
	uint64_t epoch;			/* must be above the last one */
	string model_version<RD_NAME_MAX>;
	vm_ref vms<64>;			/* the first is the head */
};

struct release_replica {
	uint32_t replica;
	uint64_t epoch;
};

/* All its VMs were ready under the epoch, and its head served. */
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
	uint64_t claim_id;		/* unique within the entry */
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
	uint32_t dead_entry;		/* 0 is none */
	uint64_t claim_id_end;		/* claims of that entry below this */
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
	string change_id<RD_NAME_MAX>;	/* empty where none is kept */
	string operator_name<RD_NAME_MAX>;
	uint64_t base_revision;		/* of the service; 0 for a new one */
	int64_t time_ms;		/* wall clock of the proposer */
	command_body body;
};

struct apply_result {
	int32_t code;			/* enum rd_result */
	uint64_t revision;		/* after the change, or the current */
	uint64_t index;			/* log index */
	string text<RD_TEXT_MAX>;	/* reasons, a line each */
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
	bool confirmed;			/* was whole under its epoch */
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
	service_state services<4096>;
	change_record changes<262144>;
	replica_state replicas<65536>;
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

/* What entries have at a replica. */
struct replica_load {
	uint32_t replica;
	uint64_t epoch;
	uint32_t requests;
	uint32_t last_byte_age_ms;		/* since the last byte of any answer */
};

/* What callers lately asked of a service at an entry. */
struct service_demand {
	string service<RD_NAME_MAX>;
	uint32_t requests_per_ks;	/* arrivals in 1,000 s */
	uint32_t prompt_tokens;		/* of one request, mean */
};

struct poll_request {
	uint32_t node;
	uint64_t incarnation;
	uint64_t member_id;		/* id of its data folder, 0 without */
	uint64_t applied_index;
	string callers_address<RD_NAME_MAX>;
	string endpoints_address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	uint32_t free_permille;		/* spare share of the entry */
	bool draining;
	replica_load loads<65536>;	/* of this entry's own requests */
	service_demand demands<4096>;
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
	uint32_t leader;		/* 0 where unknown */
	uint64_t term;
	uint64_t commit_index;
	uint32_t lease_ms;
	opaque snapshot<RD_BLOB_MAX>;	/* zlib; empty where deltas serve */
	uint32_t snapshot_bytes;	/* before compression */
	indexed_command deltas<4096>;
	entry_info entries<1024>;
	uint32_t control_nodes<64>;		/* nodes of the state group */
	replica_load loads<65536>;	/* of all other entries together */
};

struct propose_reply {
	int32_t code;			/* of the proposal itself */
	uint32_t leader;
	apply_result result;
};

struct load_report {
	uint32_t running;
	uint32_t waiting;
	uint32_t step_us;		/* time of a decoding step */
};

typedef string weights_name<RD_NAME_MAX>;

struct vm_report {
	string name<RD_NAME_MAX>;
	string address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
	string domain<RD_NAME_MAX>;
	string service<RD_NAME_MAX>;	/* plain services only */
	string pool<RD_NAME_MAX>;	/* VMs for models; empty is any */
	uint32_t slots;			/* requests at once; 0 is not said */
	uint32_t accelerators;
	uint64_t incarnation;
	uint64_t sequence;		/* counts announcements */
	bool checks_fencing;
	bool ready;
	bool leaving;
	bool serving;			/* as head, takes requests */
	bool broken;			/* as head, has lost a member */
	uint32_t replica;		/* held; 0 is none */
	uint64_t epoch;
	uint64_t fencing_token;		/* highest number obeyed */
	string model<RD_NAME_MAX>;	/* loaded weights */
	string adapter<RD_NAME_MAX>;
	string model_version<RD_NAME_MAX>;
	weights_name staged<8>;		/* models near at hand, on its disk */
	load_report load;
};

typedef string vm_name<RD_NAME_MAX>;

struct digest {
	uint32_t monitor_node;			/* node that hears the VMs */
	uint64_t incarnation;
	uint64_t sequence;
	bool full;
	vm_report changed_vms<65536>;
	vm_name lost_vms<65536>;
};

/* ---- consensus ---- */

struct member {
	uint64_t id;			/* of the data folder, never reused */
	uint32_t node;			/* of the settings */
	bool voter;
	string address<RD_NAME_MAX>;
	string data_centre<RD_NAME_MAX>;
};

struct member_config {
	member members<32>;
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
	bool leadership_transfer;			/* vote asked for by the old leader */
	uint64_t next_index_hint;			/* where to try next after a refusal */
	int64_t sent_ms;		/* leader's clock, echoed */
	raft_wire_entry entries<1024>;
	uint64_t chunk_offset;		/* of a snapshot's chunk */
	uint64_t snapshot_bytes;
	member_config config;		/* at a snapshot's index */
	opaque chunk<1048576>;
};

/* ---- stored files ---- */

struct folder_meta {
	uint32_t format;
	string cluster<RD_NAME_MAX>;
	uint32_t node;
	uint64_t member_id;		/* id of this folder in the group */
	uint64_t incarnation;		/* counts the opens */
};

struct stored_hard_state {
	uint64_t term;
	uint64_t voted_for;
};

struct stored_snapshot {
	uint64_t index;
	uint64_t term;
	member_config config;
	opaque data<RD_BLOB_MAX>;
};
