/*
 * RPC between cornelpickd processes.  Durations are in microseconds.  Every
 * string and list has a maximum length, which limits the memory that a process
 * allocates for a message from the network.
 */

const CP_RPC_NAME_MAX = 128;
const CP_RPC_DIGEST_MAX = 256;
const CP_RPC_SECTION_MAX = 1048576;
const CP_RPC_REASON_MAX = 320;

typedef opaque cp_rpc_id[16];
typedef string cp_rpc_name<CP_RPC_NAME_MAX>;

/*
 * Load report of an inbound side on its target.  clock_us: time on the clock of
 * the inbound side.
 */
struct cp_rpc_load {
	unsigned hyper incarnation;
	cp_rpc_name life;
	unsigned int in_flight;
	unsigned int queued;
	unsigned int limit;
	unsigned hyper latency_us;
	unsigned int errors_permille;
	unsigned hyper age_us;
	unsigned hyper clock_us;
};

/*
 * A fence has the incarnation that the attempt was sent to and the time, on the
 * clock of the inbound side, after which the attempt may not start.  An attempt
 * that has already arrived is cancelled only when cancel is set.
 */
struct cp_rpc_fence_args {
	cp_rpc_id attempt;
	unsigned hyper incarnation;
	unsigned hyper start_by_us;
	bool cancel;
};

enum cp_rpc_fence_status {
	CP_RPC_FENCED = 0,
	CP_RPC_STARTED = 1,
	CP_RPC_ANSWERED = 2,
	CP_RPC_OTHER_INCARNATION = 3,
	CP_RPC_FENCE_FULL = 4,
	CP_RPC_FENCE_LATE = 5
};

struct cp_rpc_fence_reply {
	cp_rpc_fence_status status;
	unsigned hyper incarnation;
};

typedef string cp_rpc_reason<CP_RPC_REASON_MAX>;

struct cp_rpc_digest_entry {
	cp_rpc_name section;
	unsigned hyper section_version;
	unsigned hyper since;
	unsigned hyper hash;
	unsigned hyper refused_version;
	unsigned hyper refused_hash;
	cp_rpc_reason refused;
};

/*
 * State of a daemon and the digest of the sections that it holds.  Only the
 * answer to a call with whole set, which is made over TCP, has entries.
 */
struct cp_rpc_digest {
	cp_rpc_name sender;
	cp_rpc_name failure_domain;
	unsigned int peers_port;
	unsigned hyper incarnation;
	cp_rpc_name life;
	bool current;
	unsigned hyper document_version;
	unsigned hyper root;
	bool whole;
	cp_rpc_digest_entry entries<CP_RPC_DIGEST_MAX>;
};

struct cp_rpc_section_args {
	cp_rpc_name section;
	unsigned hyper hash;
};

/* The text is empty when the daemon does not hold the section. */
struct cp_rpc_section {
	opaque text<CP_RPC_SECTION_MAX>;
};

program CP_RPC_PROGRAM {
	version CP_RPC_V1 {
		cp_rpc_load CP_RPC_LOAD(void) = 1;
		cp_rpc_fence_reply CP_RPC_FENCE(cp_rpc_fence_args) = 2;
		cp_rpc_digest CP_RPC_DIGEST(cp_rpc_digest) = 3;
		cp_rpc_section CP_RPC_SECTION(cp_rpc_section_args) = 4;
	} = 1;
} = 0x20435031;
