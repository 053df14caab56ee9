/*
 * Messages on the link between two daemons of the event-driven data path.
 * Each message is one record: a length of four bytes, then this union in XDR.
 * Durations are in milliseconds unless the name says otherwise.  Every string
 * and list is bounded, so that no peer can make a process allocate more than
 * a known amount.
 */

const CP_PEER_NAME_MAX = 256;
const CP_PEER_KEY_MAX = 256;
const CP_PEER_HEAD_MAX = 131072;
const CP_PEER_BODY_MAX = 67108864;
const CP_PEER_VALUE_MAX = 1048576;
const CP_PEER_ITEMS_MAX = 4096;

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
	CP_PEER_VIEW = 14
};

/*
 * What a daemon knows of the store: the newest state, and whether the store
 * answered its last call.
 */
struct cp_peer_view {
	unsigned hyper revision;
	bool store_answers;
};

/* First message of both sides.  domain: failure domain of the sender. */
struct cp_peer_hello {
	unsigned hyper incarnation;
	cp_peer_view view;
	bool leaving;
	cp_peer_name domain;
};

/* What an inbound side says of the server beside it. */
struct cp_peer_load {
	cp_peer_name instance;
	unsigned int running;
	unsigned int queued;
	unsigned int limit;
	unsigned int slowness_percent;
	unsigned int pace_permille;
};

/*
 * One attempt.  stream is unique on the side of the sender as long as its
 * process lives.  head holds the request line and the headers, without the
 * empty line and without the headers that the inbound side adds.  A hedge is
 * not worth a wait: another server has the request already.
 */
struct cp_peer_request {
	unsigned hyper stream;
	cp_peer_name request_id;
	cp_peer_name instance;
	unsigned int left;
	unsigned int objective;
	unsigned int priority;
	bool idempotent;
	bool hedge;
	cp_peer_head head;
	cp_peer_body body;
};

/* head holds the headers to pass on. */
struct cp_peer_answer {
	unsigned hyper stream;
	unsigned int status;
	cp_peer_head head;
	cp_peer_body body;
	cp_peer_load load;
};

/*
 * The attempt has not run and never will.  reached: the server itself turned
 * it away.
 */
struct cp_peer_refusal {
	unsigned hyper stream;
	unsigned int reason;
	bool reached;
	cp_peer_load load;
};

/* The attempt has no answer and may have run. */
struct cp_peer_failure {
	unsigned hyper stream;
	unsigned int reason;
	cp_peer_load load;
};

struct cp_peer_ping {
	unsigned hyper token;
	cp_peer_view view;
};

/*
 * unpacked: length of the value before it was packed (lib/pack.h), 0 when it
 * is not packed.  unsure: it went in a disturbance of the store, which may be
 * why.
 */
struct cp_peer_item {
	string key<CP_PEER_KEY_MAX>;
	opaque value<CP_PEER_VALUE_MAX>;
	unsigned int unpacked;
	unsigned hyper revision;
	bool removed;
	bool unsure;
};

/*
 * State of the store up to revision, of what changed after the one asked; 0
 * when more messages follow.  whole: the items are all that there are, since
 * the sender does not know what was removed after the revision asked; unsure
 * then says that the store was in a disturbance, which may be why items went.
 */
struct cp_peer_items {
	unsigned hyper revision;
	bool whole;
	bool unsure;
	cp_peer_item items<CP_PEER_ITEMS_MAX>;
};

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
	unsigned hyper revision;
case CP_PEER_ITEMS:
	cp_peer_items items;
case CP_PEER_LEAVING:
	void;
};
