/*
 * Messages between two daemons of the event-driven data path (meshd).  Each
 * message is one record: a length of four bytes, then cp_peer_message in XDR.
 * Durations are in milliseconds unless the name says otherwise.  Every string
 * and list has a maximum length, which limits the memory that a process
 * allocates for a message from a peer.
 */

const CP_PEER_NAME_MAX = 256;
const CP_PEER_KEY_MAX = 256;
const CP_PEER_HEAD_MAX = 131072;
const CP_PEER_BODY_MAX = 67108864;
const CP_PEER_VALUE_MAX = 1048576;
const CP_PEER_ITEMS_MAX = 4096;
const CP_PEER_SUSPECTS_MAX = 1024;
const CP_PEER_ENDS_MAX = 3;
const CP_PEER_AGE_UNKNOWN = 4294967295;
const CP_PEER_LOAD_LEAVING = 1;
const CP_PEER_LOAD_DOWN = 2;

typedef string cp_peer_name<CP_PEER_NAME_MAX>;
typedef string cp_peer_head<CP_PEER_HEAD_MAX>;
typedef opaque cp_peer_body<CP_PEER_BODY_MAX>;

enum cp_peer_kind {
	CP_PEER_HELLO = 1,
	CP_PEER_REQUEST = 2,
	CP_PEER_CANCEL = 3,
	CP_PEER_ANSWER = 4,
	CP_PEER_REFUSAL = 5,
	CP_PEER_FAILURE = 6,
	CP_PEER_LOAD = 7,
	CP_PEER_PING = 8,
	CP_PEER_PONG = 9,
	CP_PEER_LEAVING = 10,
	CP_PEER_PULL = 11,
	CP_PEER_ITEMS = 12,
	CP_PEER_RESUME = 13,
	CP_PEER_VIEW = 14,
	CP_PEER_SUSPECTS = 15
};

/* A state of the store; see lib/store_position.h. */
struct cp_peer_position {
	unsigned hyper era;
	unsigned hyper revision;
};

/*
 * A daemon's view of the store: the newest state that it knows, and whether
 * the store answered its last call.
 */
struct cp_peer_view {
	cp_peer_position position;
	bool store_answers;
};

/*
 * First message of each side.  domain: failure domain of the sender.
 * clock, here and in other messages: the sender's clock in microseconds when
 * it sent this, 0 if it does not say.
 */
struct cp_peer_hello {
	unsigned hyper incarnation;
	unsigned hyper clock;
	cp_peer_view view;
	bool leaving;
	cp_peer_name domain;
};

/*
 * Report of an inbound side on its server; see struct cp_server_load.  Reports
 * are the most frequent messages, so that two numbers of 16 bits share each
 * word, the first in its upper half; larger numbers are sent as 65535.
 * server: cp_server_id of the instance, 0 when it is not known.  flags:
 * CP_PEER_LOAD_LEAVING, CP_PEER_LOAD_DOWN.  cold: remaining warm-up time.
 */
struct cp_peer_load {
	unsigned hyper server;
	unsigned int running_queued;
	unsigned int limit_pace;
	unsigned int slowness_flags;
	unsigned int cold;
};

/*
 * One attempt.  digest: see lib/request_digest.h.  stream is unique during the life of the sender's process.  left
 * is the time left until the deadline, objective the latency objective, and
 * objective_left the time left until it, 0 if it has been missed.  head
 * holds the request line and the headers, without the empty line and without
 * the headers that the inbound side adds.  A hedge is not queued, since another
 * server already has the request.  nested: the local server of the sender
 * makes the request while it runs another one, whose priority is
 * parent_priority.  tried: servers that it has been sent to, with this one.
 * repeat: a server may have received the request before, or
 * such a repeat makes it.
 */
struct cp_peer_request {
	unsigned hyper stream;
	unsigned hyper clock;
	unsigned hyper digest;
	cp_peer_head request_id;
	cp_peer_name instance;
	unsigned int left;
	unsigned int objective;
	unsigned int objective_left;
	unsigned int priority;
	unsigned int parent_priority;
	unsigned int tried;
	bool nested;
	bool repeat;
	bool idempotent;
	bool hedge;
	cp_peer_head head;
	cp_peer_body body;
};

/* head holds the headers to forward. */
struct cp_peer_answer {
	unsigned hyper stream;
	unsigned int status;
	cp_peer_head head;
	cp_peer_body body;
	cp_peer_load load;
};

/*
 * The attempt has not run and never will.  reached: the server itself refused
 * it.
 */
struct cp_peer_refusal {
	unsigned hyper stream;
	unsigned int reason;
	bool reached;
	cp_peer_load load;
};

/* The attempt ended without an answer and may have run. */
struct cp_peer_failure {
	unsigned hyper stream;
	unsigned int reason;
	cp_peer_load load;
};

struct cp_peer_ping {
	unsigned hyper token;
	unsigned hyper clock;
	cp_peer_view view;
};

/*
 * One key of the store.  uncompressed_length: length of the value before
 * compression (lib/compress.h), 0 when it is not compressed.  unsure_ms: the key
 * was removed while the store was disturbed, and may be written again for this
 * long; 1 when that time is over, 0 when the removal was sure.  age: the
 * longest time for which the store may have had this, CP_PEER_AGE_UNKNOWN if
 * there is no bound.
 */
struct cp_peer_item {
	string key<CP_PEER_KEY_MAX>;
	opaque value<CP_PEER_VALUE_MAX>;
	unsigned int uncompressed_length;
	cp_peer_position position;
	bool removed;
	unsigned int unsure_ms;
	unsigned int age;
};

/*
 * Answer to CP_PEER_PULL: the items that changed after the requested state, up
 * to position, whose revision is 0 when more messages follow.  whole: these are
 * all items of the store, since the sender does not know what was removed after
 * the requested state.  unsure_ms, with whole: the same for items that are
 * missing.
 */
struct cp_peer_items {
	unsigned hyper clock;
	cp_peer_position position;
	bool whole;
	unsigned int unsure_ms;
	cp_peer_item items<CP_PEER_ITEMS_MAX>;
};

/* A request that may end servers; see lib/suspects.h.  age: of the record. */
struct cp_peer_suspect {
	unsigned hyper digest;
	unsigned int epoch;
	unsigned hyper ends<CP_PEER_ENDS_MAX>;
	bool alone;
	unsigned int age;
};
typedef cp_peer_suspect cp_peer_suspects<CP_PEER_SUSPECTS_MAX>;

union cp_peer_message switch (cp_peer_kind kind) {
case CP_PEER_HELLO:
	cp_peer_hello hello;
case CP_PEER_REQUEST:
	cp_peer_request request;
case CP_PEER_CANCEL:
case CP_PEER_RESUME:
	unsigned hyper stream;
case CP_PEER_ANSWER:
	cp_peer_answer answer;
case CP_PEER_REFUSAL:
	cp_peer_refusal refusal;
case CP_PEER_FAILURE:
	cp_peer_failure failure;
case CP_PEER_LOAD:
	cp_peer_load load;
case CP_PEER_PING:
case CP_PEER_PONG:
	cp_peer_ping ping;
case CP_PEER_VIEW:
	cp_peer_view view;
case CP_PEER_PULL:
	cp_peer_position position;
case CP_PEER_ITEMS:
	cp_peer_items items;
case CP_PEER_SUSPECTS:
	cp_peer_suspects suspects;
case CP_PEER_LEAVING:
	void;
};
