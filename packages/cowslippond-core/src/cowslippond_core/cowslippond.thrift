/**
 * The messages between daemons. A frame on the wire is its length (4 bytes,
 * big-endian), the XXH3 checksum of the rest (8 bytes) and a Frame struct in
 * the binary protocol. On each connection (a peer session), the daemon that
 * opened it sends a message, the other one answers it, and so on.
 */

namespace py cowslippond

/** A version of a service document that the platform's table accepted. */
struct Document {
  1: string service_name,
  2: i64 version,
  3: i64 revision,
  4: string text,
  5: string author,
  /** In milliseconds since the Unix epoch. */
  6: i64 accepted_at,
}

/** A row of a replicated table; see _gossip_table.py. */
struct Row {
  1: string key,
  2: string text,
  3: i64 stamp,
  /** Time to live in milliseconds. */
  4: i32 remaining_ms,
}

struct TableRows {
  1: string table,
  2: list<Row> rows,
}

/** The age of the last evidence from a failure domain, direct or indirect. */
struct Witness {
  1: string failure_domain,
  2: i32 age_ms,
}

/** The state of the sender's catalogue when it writes the message. */
struct Digest {
  /** The sender has all changes up to this revision. */
  1: i64 revision,
  /** Time since the revision was last known to be newest; absent if never. */
  2: optional i32 confirmed_age_ms,
  3: list<Witness> witnesses,
  /** The revisions of additional logs, by name. */
  4: optional map<string, i64> logs,
  /** How many daemons the sender knows, including itself. */
  5: optional i32 daemons,
}

/** Requests an Exchange, or answers one. */
struct Exchange {
  /** Daemons of other fleets are refused. */
  1: string fleet,
  /** The peer address of the sender. */
  2: string sender,
  3: string failure_domain,
  4: Digest digest,
  5: list<TableRows> tables,
  /** The maximum number of rows requested in the answer. */
  6: i32 row_limit,
}

/**
 * Ends a gossip round with the requester's state after the answers. It has no
 * answer. It is written after the last answer arrived, so the receiver knows
 * its maximum age: the time since that answer was sent.
 */
struct Confirmation {
  1: string failure_domain,
  2: Digest digest,
}

/** Requests Documents with a revision above the given one. */
struct Pull {
  1: i64 after,
  /** The requested log; absent for the catalogue. */
  2: optional string log,
}

/** Answers a Pull. Also sent to a lagging daemon, which answers with a Pull. */
struct Documents {
  /** In the order of their revisions. */
  1: list<Document> documents,
  /** Whether the sender has no documents with a higher revision. */
  2: bool is_last,
  /** The sender's revision. */
  3: i64 revision,
  /** The log of the documents; absent for the catalogue. */
  4: optional string log,
}

/** Exactly one of the fields is set. */
struct Frame {
  1: optional Exchange exchange,
  2: optional Pull pull,
  3: optional Documents documents,
  4: optional Confirmation confirmation,
}
