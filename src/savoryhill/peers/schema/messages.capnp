@0xc9f3b1d2a7e45610;

struct PlaceRequest {
  requestId @0 :Text;
  attempt @1 :Int64;
  group @2 :Text;
  workspace @3 :Text;
  kind @4 :Text;
  promptTokens @5 :Int64;
  maxTokens @6 :Int64;
  remainingS @7 :Float64;
  prefixHashes @8 :List(UInt64);
  avoid @9 :List(Text);
  askedAt @10 :Float64;
}

struct PromptPart {
  endpoint @0 :Text;
  nTokens @1 :Int64;
  incarnation @2 :Text;
}

struct PlaceReply {
  requestId @0 :Text;
  attempt @1 :Int64;
  group @2 :Text;
  status @3 :Text;
  endpoint @4 :Text;
  fence @5 :Int64;
  incarnation @6 :Text;
  priority @7 :Int64;
  cachedTokens @8 :Int64;
  retryAfterS @9 :Float64;
  detail @10 :Text;
  parts @11 :List(PromptPart);
  askedAt @12 :Float64;
}

struct PermitRelease {
  requestId @0 :Text;
  attempt @1 :Int64;
  group @2 :Text;
  endpoint @3 :Text;
  result @4 :Text;
  nTokens @5 :Int64;
  firstTokenS @6 :Float64;
  durationS @7 :Float64;
  incarnation @8 :Text;
}

struct HeldPermit {
  requestId @0 :Text;
  attempt @1 :Int64;
  endpoint @2 :Text;
  promptTokens @3 :Int64;
  maxTokens @4 :Int64;
  firstTokenSeen @5 :Bool;
  workspace @6 :Text;
  parts @7 :List(PromptPart);
}

struct PermitReport {
  group @0 :Text;
  permits @1 :List(HeldPermit);
}

struct JournalReserve {
  requestId @0 :Text;
  attempt @1 :Text;
  key @2 :Data;
  bodyDigest @3 :Data;
  remainingS @4 :Float64;
}

struct JournalReply {
  requestId @0 :Text;
  attempt @1 :Text;
  status @2 :Text;
  response @3 :Data;
  earlier @4 :Text;
  ending @5 :Text;
}

struct JournalFinish {
  attempt @0 :Text;
  key @1 :Data;
  status @2 :Text;
  response @3 :Data;
}

struct ConfigAnnounce {
  revision @0 :Int64;
  hops @1 :Int64;
}

struct ConfigFetch {
  aboveRevision @0 :Int64;
}

struct ConfigValue {
  revision @0 :Int64;
  content @1 :Data;
}

struct MemberUpdate {
  node @0 :Text;
  address @1 :Text;
  zone @2 :Text;
  incarnation @3 :Int64;
  status @4 :Text;
}

struct GroupSummary {
  group @0 :Text;
  holder @1 :Text;
  fence @2 :Int64;
  predictedWaitS @3 :Float32;
  freeSlots @4 :Int64;
  version @5 :Int64;
  provisional @6 :Bool;
}

struct Ping {
  probe @0 :Int64;
  target @1 :Text;
  origin @2 :Text;
  configRevision @3 :Int64;
  configConfirmedAgeS @4 :Float32;
  keyValueReached @5 :Bool;
  updates @6 :List(MemberUpdate);
  groups @7 :List(GroupSummary);
  heard @8 :Data;
}

struct Ack {
  probe @0 :Int64;
  target @1 :Text;
  configRevision @2 :Int64;
  configConfirmedAgeS @3 :Float32;
  keyValueReached @4 :Bool;
  updates @5 :List(MemberUpdate);
  groups @6 :List(GroupSummary);
  heard @7 :Data;
}

struct PingRequest {
  probe @0 :Int64;
  target @1 :Text;
}

struct HandOver {
  group @0 :Text;
  fence @1 :Int64;
}

struct CoordinatorChanged {
  group @0 :Text;
  holder @1 :Text;
  fence @2 :Int64;
  provisional @3 :Bool;
}

struct ConfigCheck {
  check @0 :Int64;
}

struct ConfigStatus {
  check @0 :Int64;
  revision @1 :Int64;
  confirmedAgeS @2 :Float64;
}

struct NodeHello {
  node @0 :Text;
  revision @1 :Int64;
  protocol @2 :Int64;
  era @3 :Int64;
}

struct JobSubmit {
  jobId @0 :Text;
  service @1 :Text;
  workspace @2 :Text;
  promptTokens @3 :Int64;
  answerTokens @4 :Int64;
  dueS @5 :Float64;
  endsS @6 :Float64;
  pauseS @7 :Float64;
  priority @8 :Int64;
  avoid @9 :List(Text);
  endpoints @10 :List(Text);
  hasStarted @11 :Bool;
  zone @12 :Text;
  isRepeat @13 :Bool;
  needsBudget @14 :Bool;
  reservedTokens @15 :List(Int64);
  probedParts @16 :List(Text);
  excluded @17 :List(Text);
  excludedForS @18 :List(Float64);
}

struct JobPlaced {
  jobId @0 :Text;
  endpoints @1 :List(Text);
  predictedFirstS @2 :Float64;
  reservedTokens @3 :List(Int64);
}

struct JobRejected {
  jobId @0 :Text;
  reason @1 :Text;
  retryAfterS @2 :Float64;
  awaitsProbe @3 :Bool;
}

struct JobReport {
  jobId @0 :Text;
  what @1 :Text;
  endpoint @2 :Text;
}

struct StoreItem {
  key @0 :Text;
  value @1 :Data;
  revision @2 :Int64;
  isDeleted @3 :Bool;
  era @4 :Int64;
}

struct StoreUpdate {
  revision @0 :Int64;
  isComplete @1 :Bool;
  rows @2 :List(StoreItem);
  baseRevision @3 :Int64;
  era @4 :Int64;
  baseEra @5 :Int64;
}

struct RetainedRows {
  ageS @0 :Float64;
  rows @1 :List(StoreItem);
}

struct NodeAside {
  lengthS @0 :Float64;
}

struct NodeBeat {
  revision @0 :Int64;
  contactAgeS @1 :Float64;
  protocol @2 :Int64;
  era @3 :Int64;
}

struct ObservationItem {
  kind @0 :Text;
  subject @1 :Text;
  source @2 :Text;
  version @3 :Int64;
  ageS @4 :Float64;
  value @5 :Float64;
  workspace @6 :Text;
  release @7 :Text;
}

struct SharedObservations {
  items @0 :List(ObservationItem);
}

struct TurnRequest {
  number @0 :Int64;
  endpoints @1 :List(Text);
  maxWaitS @2 :Float64;
}

struct TurnReply {
  number @0 :Int64;
  endpoint @1 :Text;
  waitS @2 :Float64;
}

struct BalanceRequest {
  number @0 :Int64;
  service @1 :Text;
  zone @2 :Text;
  avoided @3 :List(Text);
}

struct BalanceReply {
  number @0 :Int64;
  endpoint @1 :Text;
}

struct BalanceEnd {
  number @0 :Int64;
  endpoint @1 :Text;
  nRunning @2 :Int64;
  nWaiting @3 :Int64;
  nSlots @4 :Int64;
  ageS @5 :Float64;
}

struct BalanceFailure {
  endpoint @0 :Text;
}

struct RelayRequest {
  node @0 :Text;
  request @1 :Text;
  endpoint @2 :Text;
  remainingS @3 :Float64;
  isOrder @4 :Bool;
}

struct RelayReply {
  outcome @0 :Text;
  hasWay @1 :Bool;
}
