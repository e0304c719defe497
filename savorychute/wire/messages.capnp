# Written by "savorychute schema" from the registered peer messages.
@0xbf5147cbbecf40c1;

struct Envelope {
  sender @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :UInt64;
  kind @3 :UInt16;  # the tag of the message in the body
  body @4 :AnyPointer;
}

struct MemberAddress {
  instance @0 :Text;
  incarnation @1 :Int64;
  region @2 :Text;
  failureDomain @3 :Text;
  host @4 :Text;
  callerPort @5 :Int64;
  peerPort @6 :Int64;
}

struct MemberUpdate {
  address @0 :MemberAddress;
  counter @1 :Int64;
  state @2 :Int64;
}

struct TierShortage {
  service @0 :Text;
  tier @1 :Int64;
  unserved @2 :Float64;
}

struct ToldLimit {
  endpoint @0 :Text;
  bornMs @1 :Int64;
  limitPerS @2 :Float64;
  ageMs @3 :Int64;
}

struct ToldLeaving {
  endpoint @0 :Text;
  bornMs @1 :Int64;
}

struct ToldDemand {
  key @0 :Int64;
  rate @1 :Int64;
  usual @2 :Int64;
}

struct Ping {  # tag 10
  sequence @0 :Int64;
  origin @1 :MemberUpdate;
  configurationOffset @2 :Int64;
  updates @3 :List(MemberUpdate);
  load @4 :Int64;
  shortages @5 :List(TierShortage);
  wallMs @6 :Int64;
  limits @7 :List(ToldLimit);
  leaving @8 :List(ToldLeaving);
  tunnels @9 :Int64;
  demands @10 :List(ToldDemand);
}

struct Ack {  # tag 11
  sequence @0 :Int64;
  origin @1 :MemberUpdate;
  configurationOffset @2 :Int64;
  updates @3 :List(MemberUpdate);
  load @4 :Int64;
  shortages @5 :List(TierShortage);
  wallMs @6 :Int64;
  limits @7 :List(ToldLimit);
  leaving @8 :List(ToldLeaving);
  tunnels @9 :Int64;
  demands @10 :List(ToldDemand);
}

struct PingRequest {  # tag 12
  sequence @0 :Int64;
  origin @1 :MemberUpdate;
  target @2 :MemberAddress;
}

struct RelayedAck {  # tag 13
  sequence @0 :Int64;
  target @1 :MemberUpdate;
}

struct Gossip {  # tag 14
  updates @0 :List(MemberUpdate);
  bulk @1 :Bool;
}

struct RegionDigest {
  region @0 :Text;
  members @1 :Int64;
  hash @2 :Int64;
  beat @3 :Int64;
}

struct Digest {  # tag 15
  origin @0 :MemberUpdate;
  configurationOffset @1 :Int64;
  regions @2 :List(RegionDigest);
}

struct MemberStamp {
  instance @0 :Text;
  incarnation @1 :Int64;
  counter @2 :Int64;
  state @3 :Int64;
}

struct RegionSummary {  # tag 16
  origin @0 :MemberUpdate;
  region @1 :Text;
  stamps @2 :List(MemberStamp);
}

struct UpdateRequest {  # tag 17
  origin @0 :MemberUpdate;
  instances @1 :List(Text);
}

struct RecordsRequest {  # tag 20
  afterOffset @0 :Int64;
}

struct PushedRecord {
  offset @0 :Int64;
  payload @1 :Data;
}

struct RecordsPush {  # tag 21
  records @0 :List(PushedRecord);
  newestOffset @1 :Int64;
}

struct OffsetNotice {  # tag 22
  offset @0 :Int64;
  digest @1 :Int64;
  snapshotOffset @2 :Int64;
  snapshotAgeMs @3 :Int64;
}

struct StateRequest {  # tag 23
  offset @0 :Int64;
  part @1 :Int64;
}

struct StatePart {  # tag 24
  offset @0 :Int64;
  part @1 :Int64;
  parts @2 :Int64;
  data @3 :Data;
  snapshotOffset @4 :Int64;
  snapshotAgeMs @5 :Int64;
}

struct EndpointUse {
  endpoint @0 :Int64;
  held @1 :Int64;
  inUse @2 :Int64;
  withoutCredit @3 :Int64;
}

struct GroupReport {
  group @0 :Int64;
  homeEpoch @1 :Int64;
  sequence @2 :Int64;
  wantsSpare @3 :Bool;
  running @4 :List(Int64);
  waiting @5 :List(Int64);
  uses @6 :List(EndpointUse);
}

struct CreditReport {  # tag 30
  epoch @0 :Int64;
  number @1 :Int64;
  groups @2 :List(GroupReport);
}

struct EndpointLevel {
  endpoint @0 :Int64;
  level @1 :Int64;
}

struct EndpointLoad {
  endpoint @0 :Int64;
  ageMs @1 :Int64;
  running @2 :Int64;
  waiting @3 :Int64;
  kvFreeShare @4 :Float64;
  stepMs @5 :Float64;
}

struct GroupGrant {
  group @0 :Int64;
  sequence @1 :Int64;
  mustAcknowledge @2 :Bool;
  pressingTier @3 :Int64;
  levels @4 :List(EndpointLevel);
  loads @5 :List(EndpointLoad);
  reportIntervalMs @6 :Int64;
}

struct CreditGrant {  # tag 31
  homeEpoch @0 :Int64;
  epoch @1 :Int64;
  reportNumber @2 :Int64;
  durationMs @3 :Int64;
  groups @4 :List(GroupGrant);
}

struct CreditAsk {  # tag 32
  groups @0 :List(Int64);
}

struct ShareReport {
  organisation @0 :Text;
  homeEpoch @1 :Int64;
  sequence @2 :Int64;
  held @3 :Int64;
  floor @4 :Int64;
  floorLeftMs @5 :Int64;
  inUse @6 :Int64;
  wanted @7 :Int64;
  wantsSpare @8 :Bool;
}

struct LimitReport {  # tag 40
  epoch @0 :Int64;
  number @1 :Int64;
  shares @2 :List(ShareReport);
  vetoers @3 :List(Text);
  lost @4 :List(Text);
  lossAgeMs @5 :Int64 = -1;
}

struct ShareGrant {
  organisation @0 :Text;
  sequence @1 :Int64;
  mustAcknowledge @2 :Bool;
  units @3 :Int64;
  floor @4 :Int64;
}

struct LimitGrant {  # tag 41
  homeEpoch @0 :Int64;
  epoch @1 :Int64;
  reportNumber @2 :Int64;
  durationMs @3 :Int64;
  floorMs @4 :Int64;
  shares @5 :List(ShareGrant);
  vetoers @6 :List(Text);
}

struct LimitAsk {  # tag 42
  organisations @0 :List(Text);
}

struct StartNotice {  # tag 50
  key @0 :Text;
  fingerprint @1 :Text;
  endpoint @2 :Text;
  streamId @3 :Text;
  host @4 :Text;
  peerPort @5 :Int64;
}

struct StartAnswer {  # tag 51
  key @0 :Text;
  accepted @1 :Bool;
  reason @2 :Text;
}

struct KeyQuestion {  # tag 52
  key @0 :Text;
  fingerprint @1 :Text;
  host @2 :Text;
  peerPort @3 :Int64;
}

struct KeyVerdict {  # tag 53
  key @0 :Text;
  fingerprint @1 :Text;
  verdict @2 :Text;
  endpoint @3 :Text;
  streamId @4 :Text;
}

struct KeysSettled {  # tag 54
  ran @0 :List(Text);
  notRun @1 :List(Text);
}

struct PoisonEntry {
  fingerprint @0 :Text;
  round @1 :Int64;
  endpoints @2 :List(Text);
  crashes @3 :Int64;
  quarantined @4 :Bool;
  lifetimeMs @5 :Int64;
}

struct PoisonNews {  # tag 60
  entries @0 :List(PoisonEntry);
}

struct PoisonDigest {  # tag 61
  digest @0 :Int64;
  entries @1 :Int64;
}

struct LeavingNews {  # tag 62
  endpoints @0 :List(Text);
}

struct PrefixLoss {
  endpoint @0 :Text;
  request @1 :Int64;
  prefixes @2 :List(Int64);
}

struct PrefixNews {  # tag 63
  pool @0 :Text;
  losses @1 :List(PrefixLoss);
  cleared @2 :List(Int64);
  ageMs @3 :Int64;
}

struct StoreQuestion {  # tag 91
  sequence @0 :Int64;
  endpointOffset @1 :Int64;
  era @2 :Int64;
}

struct EndpointNews {
  offset @0 :Int64;
  endpoint @1 :Text;
  gone @2 :Bool;
  service @3 :Text;
  host @4 :Text;
  port @5 :Int64;
  failureDomain @6 :Text;
  slots @7 :Int64;
  draining @8 :Bool;
  sequence @9 :Int64;
  bornMs @10 :Int64;
  unreadable @11 :Bool;
  convinced @12 :Bool;
  reclaimable @13 :Bool;
  softwareVersion @14 :Text;
  hasSoftwareVersion @15 :Bool;
}

struct StoreAnswer {  # tag 92
  sequence @0 :Int64;
  configurationVersion @1 :Int64;
  configurationAgeMs @2 :Int64;
  endpointOffset @3 :Int64;
  endpointAgeMs @4 :Int64;
  changes @5 :List(EndpointNews);
  era @6 :Int64;
}

struct OrganisationCount {
  organisation @0 :Text;
  requests @1 :Int64;
}

struct WindowCounts {
  window @0 :Int64;
  counts @1 :List(OrganisationCount);
}

struct UsageTold {  # tag 93
  run @0 :Int64;
  wholeUntilMs @1 :Int64;
  windows @2 :List(WindowCounts);
}

struct CrashQuestion {  # tag 94
}

struct EndpointRun {
  endpoint @0 :Text;
  bornMs @1 :Int64;
}

struct PermitQuestion {  # tag 95
  sequence @0 :Int64;
  run @1 :EndpointRun;
  limitPerS @2 :Float64;
  ageMs @3 :Int64;
  tier @4 :Int64;
}

struct PermitAnswer {  # tag 96
  sequence @0 :Int64;
  waitMs @1 :Int64;
}

struct TunnelRequest {  # tag 97
  host @0 :Text;
  port @1 :Int64;
}

struct OriginGroup {
  service @0 :Text;
  version @1 :Text;
  lifetimeMs @2 :Int64;
  keys @3 :Data;
  stored @4 :Bool;
}

struct VersionMark {
  service @0 :Text;
  version @1 :Text;
  stamp @2 :Int64;
}

struct StreamNews {  # tag 98
  groups @0 :List(OriginGroup);
  answered @1 :Data;
  marks @2 :List(VersionMark);
}

struct StreamQuestion {  # tag 99
  keys @0 :Data;
}

struct LostRequest {
  run @0 :Text;
  request @1 :Int64;
  parts @2 :List(Int64);
}

struct TraitSuccess {
  trait @0 :Int64;
  ageMs @1 :Int64;
}

struct CrashReport {  # tag 100
  service @0 :Text;
  losses @1 :List(LostRequest);
  ageMs @2 :Int64;
  successes @3 :List(TraitSuccess);
}

struct VerdictState {
  service @0 :Text;
  traits @1 :List(Int64);
  crashes @2 :Int64;
  certain @3 :Bool;
  dueInMs @4 :Int64;
  sequence @5 :Int64;
  trials @6 :Int64;
  lifted @7 :Bool;
  isStored @8 :Bool;
}

struct VerdictNews {  # tag 101
  verdicts @0 :List(VerdictState);
  isComplete @1 :Bool;
  observedMs @2 :Int64;
}

struct EngineNews {  # tag 102
  rows @0 :Data;
}
