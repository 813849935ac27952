// Messages between VMs. Each struct mirrors the attrs class of the same name
// in bluebellthread/core, but Envelope mirrors the one in bluebellthread/wire.
// All fields are optional, so that a newer version can add one. The number of
// a removed field is never reused.

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
  9: i32 relay_port,
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
  13: list<string> avoid_servers,
  14: bool replaces_silent,
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
  11: i64 invalid_revision,
  12: i64 stale_revision,
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

struct MemberUpdate {
  1: Member member,
  2: i32 counter,
  3: i64 replaced_incarnation,
}

struct Ping {
  1: i64 digest,
  2: list<MemberUpdate> updates,
  3: bool wants_table,
}

struct Ack {
  1: i64 digest,
  2: list<MemberUpdate> updates,
  3: string subject,
}

struct IndirectPing {
  1: string subject,
}

struct Gossip {
  1: list<MemberUpdate> updates,
}

struct PlaceDigest {
  1: string data_centre,
  2: i64 digest,
}

struct TableDigests {
  1: list<PlaceDigest> digests,
  2: bool is_answer,
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
  4: bool asks_to_watch,
}

struct ManifestAnswer {
  1: i64 revision,
  2: i64 digest,
  3: list<ManifestPart> parts,
  4: i64 platform_age_ms,
}

struct SectionsRequest {
  1: list<i64> digests,
}

struct SectionsAnswer {
  1: binary payload,
}

struct RegistrationWanted {
  1: PoolKey pool,
  2: string scheduler,
  3: i64 scheduler_incarnation,
}

struct PermitAbandoned {
  1: string request_id,
  2: i32 attempt_number,
  3: string gateway,
  4: i64 gateway_incarnation,
  5: PoolKey pool,
  6: string caller,
}

struct Envelope {
  1: string kind,
  2: i64 correlation,
  3: string sender,
  4: i64 sender_incarnation,
  5: string traceparent,
  6: binary body,
}

struct TicketCall {
  1: string ticket,
  2: string caller,
  3: string serves,
  4: string method,
  5: string path,
  6: i64 deadline_ms,
  7: list<list<string>> headers,
  8: binary body,
  9: string check_path,
  10: list<string> refusal_kinds,
}

struct TicketLookup {
  1: string ticket_id,
  2: string caller,
}

struct TicketResult {
  1: string tag,
  2: string kind,
  3: i32 status,
  4: list<list<string>> headers,
  5: binary body,
  6: bool whole,
  7: string check_path,
  8: i64 check_after_ms,
  9: bool may_renew,
  10: string ticket,
  11: string ticket_id,
  12: string state,
  13: i64 remaining_ms,
}

struct TicketCopy {
  1: string ticket_id,
  2: string caller,
  3: string serves,
  4: i64 deadline_ms,
  5: i64 keep_deadline_ms,
  6: string check_path,
  7: string call_digest,
  8: TicketResult result,
}

struct TicketRecords {
  1: list<TicketCopy> records,
}

struct TicketsMoved {
  1: string issuer,
  2: i64 issuer_incarnation,
  3: string holder,
  4: string holder_host,
  5: i32 holder_peer_port,
  6: i64 keep_deadline_ms,
}

struct Departure {
  1: string name,
  2: i64 incarnation,
  3: bool has_drained,
  4: i64 era,
  5: i64 revision,
  6: i64 keep_deadline_ms,
}

struct EndedRun {
  1: string attempt_id,
  2: list<string> parts,
  3: i64 age_ms,
}

struct EngineEnded {
  1: string vm,
  2: i64 number,
  3: string server,
  4: i64 incarnation,
  5: string serves,
  6: string software_version,
  7: list<EndedRun> runs,
  8: i64 keep_deadline_ms,
}

struct PartSurvived {
  1: string serves,
  2: string part,
  3: string software_version,
  4: i64 keep_deadline_ms,
}

struct ShutOut {
  1: string serves,
  2: list<string> parts,
  3: list<string> software_versions,
  4: list<string> engines,
  5: i32 attempt_count,
  6: i32 number,
  7: bool is_lifted,
  8: i64 keep_deadline_ms,
}

struct ShutOutsAsk {
}

struct ShutOutLift {
  1: string serves,
  2: list<string> parts,
}

struct ShutOutsAnswer {
  1: list<ShutOut> shut_outs,
  2: list<ShutOut> lifted,
}

struct ServerLimit {
  1: string server,
  2: i64 incarnation,
  3: string serves,
  4: double rate_per_s,
  5: bool is_ended,
  6: i64 first_keep_deadline_ms,
  7: i64 keep_deadline_ms,
  8: i64 number,
}

struct LimitsAsk {
}

struct LimitInForce {
  1: ServerLimit limit,
  2: i64 passed_count,
  3: i64 turned_away_count,
}

struct LimitsAnswer {
  1: list<LimitInForce> limits,
}

struct TokensAsk {
  1: string account,
  2: string owner_key,
  3: string vm,
  4: double rate_per_s,
  5: i64 rate_deadline_ms,
  6: i32 count,
}

struct TokensAnswer {
  1: i32 count,
  2: i64 wait_ms,
}

struct CustomerUse {
  1: string customer,
  2: i64 used,
  3: i64 window_used,
  4: i64 wanted,
  5: i64 needed,
}

struct CustomerUsage {
  1: list<CustomerUse> uses,
}

struct CustomerGrant {
  1: string customer,
  2: i64 used,
  3: i64 credit,
  4: double rate_per_s,
  5: bool is_near,
  6: i32 report_ms,
  7: i32 ask_ms,
}

struct CustomerUsageNoted {
  1: list<CustomerGrant> grants,
}

struct Outage {
  1: i64 start_clock_ms,
  2: i64 end_clock_ms,
  3: string vm,
  4: i64 number,
}

struct News {
  1: list<Departure> departures,
  2: list<EngineEnded> ends,
  3: list<PartSurvived> survivals,
  4: list<ShutOut> shut_outs,
  5: list<ServerLimit> limits,
  6: list<Outage> outages,
}

struct NewsNoted {
}

struct PlacementAsk {
  1: string ask_id,
  2: string vm,
  3: i64 vm_incarnation,
  4: string data_centre,
  5: string serves,
  6: i32 prompt_tokens,
  7: i32 output_tokens,
  8: i64 target_deadline_ms,
  9: i64 deadline_ms,
  10: i64 poll_deadline_ms,
  11: list<string> avoid_servers,
  12: i64 start_deadline_ms,
  13: string software_version,
  14: list<Departure> departures,
  15: i32 priority,
  16: string customer,
  17: i32 expected_tokens,
  18: bool is_contended,
}

struct PlacementGranted {
  1: string ask_id,
  2: string prefill_server,
  3: string decode_server,
  4: list<string> token_servers,
  5: i64 token_deadline_ms,
}

struct PlacementRefused {
  1: string ask_id,
  2: string kind,
  3: i64 retry_after_ms,
  4: i32 waiting_count,
  5: i32 place_count,
}

struct PlacementPending {
  1: string ask_id,
}

struct PromptRead {
  1: string ask_id,
  2: string serves,
}

struct PlacementEnded {
  1: string ask_id,
  2: string serves,
  3: string failed_server,
  4: i32 first_event_ms,
  5: i32 writing_ms,
}

struct HeldPlacement {
  1: string ask_id,
  2: string prefill_server,
  3: string decode_server,
  4: i32 prompt_tokens,
  5: i64 deadline_ms,
  6: i32 output_tokens,
  7: i32 writing_ms,
}

struct PlacementsHeld {
  1: string vm,
  2: i64 vm_incarnation,
  3: string serves,
  4: list<HeldPlacement> places,
}

struct StreamOrigin {
  1: string attempt_id,
  2: string serves,
  3: string software_version,
  4: i64 keep_deadline_ms,
}

struct StreamsBegan {
  1: list<StreamOrigin> origins,
}

struct OriginAsk {
  1: string attempt_id,
  2: string serves,
}

struct OriginAnswer {
  1: list<StreamOrigin> origins,
  2: list<string> versions,
  3: bool knows_all_versions,
}
