// Messages between VMs. Each struct mirrors the class of its name in
// bluebellthread/core. Fields are optional so that a newer VM can add one;
// a number is never used again.

struct PoolKey {
  1: string serves,
  2: string data_centre,
  3: i32 shard,
}

struct Member {
  1: string name,
  2: string data_centre,
  3: string region,
  4: string host,
  5: i32 peer_port,
  6: i32 caller_port,
  7: i64 incarnation,
  8: string state,
}

struct Permit {
  1: string permit_id,
  2: string request_id,
  3: string gateway,
  4: i64 gateway_incarnation,
  5: string caller,
  6: PoolKey pool,
  7: string prefill_server,
  8: string decode_server,
  9: i32 prompt_tokens,
  10: i32 pieces,
  11: i64 deadline_ms,
  12: i32 attempt_number,
  13: string stage,
}

struct PermitRequest {
  1: string request_id,
  2: string gateway,
  3: i64 gateway_incarnation,
  4: string caller,
  5: PoolKey pool,
  6: i32 prompt_tokens,
  7: i32 output_tokens,
  8: i64 deadline_ms,
  9: i64 first_output_deadline_ms,
  10: i32 attempt_number,
  11: i32 priority,
  12: list<i64> prefix_hashes,
}

struct PermitGranted {
  1: Permit permit,
  2: string scheduler,
  3: i64 scheduler_incarnation,
}

struct PermitRefused {
  1: string request_id,
  2: string kind,
  3: i64 retry_after_ms,
  4: i32 attempt_number,
  5: string owner,
}

struct PermitProgressed {
  1: string permit_id,
  2: PoolKey pool,
  3: string stage,
}

struct PermitReleased {
  1: string permit_id,
  2: PoolKey pool,
  3: bool clean,
}

struct PermitsRegistered {
  1: string gateway,
  2: i64 gateway_incarnation,
  3: PoolKey pool,
  4: list<Permit> permits,
}

struct PermitCancelled {
  1: string permit_id,
  2: string kind,
}

struct Done {
}

struct Rejected {
  1: string kind,
  2: string remedy,
}

struct StatusRequest {
}

struct StatusAnswer {
  1: string vm,
  2: string data_centre,
  3: i64 incarnation,
  4: i64 revision,
  5: bool draining,
  6: bool confirmed,
  7: list<string> pools_owned,
  8: i32 permits_held,
  9: i32 permits_granted,
  10: list<Member> members,
}

struct RequestLookup {
  1: string request_id,
}

struct RequestFound {
  1: string request_id,
  2: string state,
  3: string vm,
  4: string detail,
}

struct RevisionAnnounced {
  1: string vm,
  2: i64 revision,
  3: i64 digest,
}

struct ManifestPart {
  1: string key,
  2: bool is_list,
  3: list<i64> digests,
}

struct ManifestRequest {
  1: string vm,
  2: i64 revision,
  3: i64 digest,
}

struct ManifestAnswer {
  1: i64 revision,
  2: i64 digest,
  3: list<ManifestPart> parts,
}

struct SectionsRequest {
  1: list<i64> digests,
}

struct SectionsAnswer {
  1: binary payload,
}

struct Envelope {
  1: string kind,
  2: i64 correlation,
  3: string sender,
  4: i64 sender_incarnation,
  5: string traceparent,
  6: binary body,
}
