// Messages between entry hosts. Fields are only ever added, with new numbers.
// An older release skips fields that it doesn't know, so that hosts of both
// releases can run side by side.

struct Heartbeat {
  1: string host_id,
  2: string incarnation,
  3: i64 settings_version,
  4: i32 running,
  5: bool is_leaving,
  6: bool is_ready,
}

struct ClaimQuestion {
  1: string incarnation,
  2: string nonce,
}

struct ClaimReply {
  1: string state,
  2: optional i32 status,
  3: optional string content_type,
  4: optional binary body,
}

struct Run {
  1: string fingerprint,
  2: string run_id,
}

struct CrashNotice {
  1: string crash_id,
  2: list<Run> runs,
}

struct LeavingNotice {
  1: string endpoint_id,
  2: string incarnation,
}

struct SettingsQuestion {
  1: i64 have_version,
}

struct SettingsReply {
  1: i64 version,
  2: i64 base_version,
  3: binary nodes,
}

struct EndpointLoad {
  1: string endpoint_id,
  2: i32 requests,
  3: i64 token_layers,
  4: optional i64 reading_token_layers,
  5: optional i32 first_requests,
}

struct EndpointStart {
  1: string endpoint_id,
  2: i64 born,
}

struct PartCrash {
  1: string part,
  2: string crash_id,
  3: string request,
  4: i64 age_ms,
}

struct PartServed {
  1: string part,
  2: string crash_id,
}

struct Verdict {
  1: string fingerprint,
  2: i64 left_ms,
}

struct EndpointLimit {
  1: string endpoint_id,
  2: i64 born,
  3: optional double rate_per_s,
  4: i64 age_ms,
}

// The items of a list are flat, three numbers each: a rank or the hash of a
// customer's name, requests and tokens.
struct ServiceShares {
  1: i64 name_hash,
  2: list<i64> ranks,
  3: list<i64> customers,
}

struct EndpointSlowness {
  1: string endpoint_id,
  2: i32 percent,
  3: i64 age_ms,
  4: i64 number,
}

struct HostBeat {
  1: string host,
  2: string incarnation,
  3: bool is_leaving,
  4: list<EndpointLoad> loads,
  5: binary heard,
  6: i32 crossing_tokens,
  7: optional list<CrashNotice> crashes,
  8: optional list<EndpointStart> leaving,
  9: optional list<EndpointStart> unreachable,
  10: optional list<PartCrash> part_crashes,
  11: optional list<PartServed> parts_served,
  12: optional list<Verdict> verdicts,
  13: optional list<EndpointLimit> limits,
  14: optional list<ServiceShares> shares,
  15: optional list<EndpointSlowness> slowness,
}

struct FeedRow {
  1: string key,
  2: i64 version,
  3: optional binary value,
  4: optional bool is_compressed,
}

struct FeedQuestion {
  1: string table,
  2: i64 after,
  3: i32 wait_ms,
  4: optional i64 era,
  5: optional bool may_compress,
}

struct FeedReply {
  1: i64 version,
  2: i64 age_ms,
  3: bool is_whole,
  4: list<FeedRow> rows,
  5: i32 waited_ms,
  6: i32 regained_ms,
  7: optional i64 era,
  8: optional i64 catalog_version,
}

struct Frame {
  1: i64 call_id,
  2: bool is_reply,
  3: optional Heartbeat heartbeat,
  4: optional ClaimQuestion claim_question,
  5: optional ClaimReply claim_reply,
  6: optional list<CrashNotice> crashes,
  7: optional LeavingNotice leaving,
  8: optional SettingsQuestion settings_question,
  9: optional SettingsReply settings_reply,
  10: optional HostBeat host_beat,
  11: optional FeedQuestion feed_question,
  12: optional FeedReply feed_reply,
}
