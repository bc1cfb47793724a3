//! Components of the toucanledge proxy fleet for programs that embed them.
//!
//! The crate re-exports what an embedder needs from the other crates of the workspace, in one flat
//! namespace. Except for settings files, links and the heartbeat socket, the components are state
//! machines without I/O: they take the current time as [`Millis`] and return the actions to
//! perform.
//!
//! | component | main types | purpose |
//! |---|---|---|
//! | identifiers | [`VmId`], [`VmList`], [`Millis`], [`RefusalReason`] | names, time, VM list, outcomes |
//! | table | [`PublishedTable`], [`TableStore`] | reads, validates and orders publications |
//! | settings | [`GatewaySettings`], [`load_gateway`] | settings file with errors by line and column |
//! | wire | [`PeerMessage`], [`PeerLinks`], [`HeartbeatSocket`] | messages between gateways, links, datagrams |
//! | membership | [`MembershipView`], [`ShardMap`] | live gateways, dispatcher of each shard |
//! | slots | [`ShardDispatcher`] | grants slots, finds and ejects faulty backend servers |
//! | claims | [`ListHistory`], [`ClaimVoter`], [`ClaimAttempt`] | runs a keyed request at most once |
//!
//! A gateway combines them as follows. [`TableStore`] holds the active table, and
//! [`MembershipView`] returns the live gateways. From both and the VM list, [`ShardMap`] computes
//! which gateway is the dispatcher of which shard; that gateway runs a [`ShardDispatcher`] for it.
//! An at-most-once request first needs a quorum of votes, which a [`ClaimAttempt`] requests; each
//! voter runs a [`ListHistory`] and a [`ClaimVoter`].
//!
//! # Identifiers
//!
//! Rendezvous hashing orders VMs by a key; every process with the same VMs computes the same order.
//!
//! ```
//! use toucanledge::{VmId, rendezvous_order};
//!
//! let order = rendezvous_order(7, [VmId(1), VmId(2), VmId(3)]);
//! let without_first = rendezvous_order(7, order[1..].iter().copied());
//! assert_eq!(without_first, order[1..]);
//! ```
//!
//! # Table
//!
//! A publication takes effect when it is valid as a whole and is based on the revision before it.
//!
//! ```
//! use toucanledge::{ApplyOutcome, TableParts, TableRevision, TableStore};
//!
//! let head = r#"{"based_on": 0, "editor": "ana", "rows": [
//!   {"backend": "reading-01", "pool": "reading"},
//!   {"class": "read-policy", "path": "/policies/", "pool": "reading", "repeat": "repeatable"}
//! ]}"#;
//! let mut store = TableStore::new();
//! let outcome = store.apply(TableRevision(1), head, &TableParts::new());
//! assert_eq!(outcome, ApplyOutcome::Accepted);
//!
//! // A second publication that is also based on revision 0 is refused.
//! let outcome = store.apply(TableRevision(2), head, &TableParts::new());
//! assert!(matches!(outcome, ApplyOutcome::Refused(_)));
//! assert_eq!(store.revision(), TableRevision(1));
//! ```
//!
//! # Settings
//!
//! ```
//! use toucanledge::{GatewaySettings, parse};
//!
//! let text = r#"{
//!   "vm": 7, "name": "gw-07", "failure_domain": 1,
//!   "listen": "127.2.0.7:8080",
//!   "peer_listen": "127.2.0.7:7000", // TCP links and UDP datagrams
//!   "status_listen": "127.2.0.7:9000",
//!   "platform": ["127.2.9.1:8500"]
//! }"#;
//! let settings: GatewaySettings = parse("gateway.jsonc", text).expect("valid JSON");
//! assert!(settings.check().is_empty());
//! ```
//!
//! # Wire
//!
//! ```
//! use toucanledge::{PeerMessage, TableRevision, decode, encode};
//!
//! let request = PeerMessage::TableRequest { known_revision: TableRevision(11) };
//! let frame = encode(&request).expect("within the limits");
//! assert_eq!(decode(&frame).expect("a valid frame"), request);
//! ```
//!
//! # Membership
//!
//! ```
//! use toucanledge::{Incarnation, LocalStatus, MembershipView, Millis, ReceiveOutcome, VmId};
//!
//! let mut sender = MembershipView::new(VmId(1), Incarnation(10), Millis(0));
//! let mut receiver = MembershipView::new(VmId(2), Incarnation(20), Millis(0));
//! let heartbeat = sender.heartbeat_for(VmId(2), Millis(5), &LocalStatus::default());
//! assert_eq!(receiver.handle_heartbeat(&heartbeat, Millis(6)), ReceiveOutcome::NewIncarnation);
//! assert!(receiver.is_reachable(VmId(1)));
//! ```
//!
//! # Slots
//!
//! A dispatcher with one backend server of one slot grants the first lease request and queues the
//! second.
//!
//! ```
//! use toucanledge::{
//!     BackendPolicy, CallerHash, ClassId, ClassPolicy, DispatchAction, FailureDomainId,
//!     Fingerprint, LeaseReply, LeaseRequest, LeaseRequestId, ListedServer, Millis, PoolId,
//!     RouteHash, ShardDispatcher, ShardId, ShardPolicy, TableRevision, VmId, VmState,
//! };
//!
//! let shard = ShardId { pool: PoolId::of("reading"), domain: FailureDomainId(1), index: 0 };
//! let class = ClassPolicy {
//!     class: ClassId::of("read"), row: "read".into(), weight: 1.0, queue_ms: 200,
//!     slot_share: 1.0, rate_limit_per_s: 0.0, floor: 0.7, keyed: false,
//! };
//! let backend = BackendPolicy {
//!     backend: VmId(1001), row: "reading-01".into(), weight: 1.0, slots: 1, connections: 330,
//! };
//! let policy = ShardPolicy {
//!     table_revision: TableRevision(12), classes: vec![class], backends: vec![backend],
//! };
//! let listed = ListedServer { backend: VmId(1001), state: VmState::Live };
//! let mut dispatcher = ShardDispatcher::new(shard, 7);
//! dispatcher.set_policy(policy, Millis(0));
//! dispatcher.set_servers(vec![listed], Millis(0));
//!
//! let request = |number: u64| LeaseRequest {
//!     request_id: LeaseRequestId(number), shard, class: ClassId::of("read"),
//!     caller: CallerHash(number), route: RouteHash(1), fingerprint: Fingerprint(number.into()),
//!     remaining_ms: 2_000, exclude: Vec::new(),
//! };
//! let actions = dispatcher.request_lease(VmId(1), request(1), Millis(1));
//! let [DispatchAction::Reply { reply: LeaseReply::Grant(grant), .. }] = &actions[..] else {
//!     panic!("the slot is free");
//! };
//! assert_eq!(grant.backend, VmId(1001));
//! assert!(dispatcher.request_lease(VmId(1), request(2), Millis(2)).is_empty());
//! assert!(dispatcher.pending_wait_ms(VmId(1), LeaseRequestId(2), Millis(2)).is_some());
//! ```
//!
//! # Claims
//!
//! Votes of three of five voters give a claim attempt a dispatch permit, which ends 2 s after its
//! first vote request.
//!
//! ```
//! use toucanledge::{
//!     AttemptAction, AttemptId, AttemptRequest, ClaimAttempt, ClaimKey, Incarnation, Millis, VmId,
//!     VmList, VoteDecision, VoteReply,
//! };
//!
//! let gateways: Vec<_> = (1..=5)
//!     .map(|vm| format!(
//!         r#"{{"vm":{vm},"name":"gw-0{vm}","role":"gateway","failure_domain":{vm},
//!             "peer":"127.2.0.{vm}:7000","state":"live"}}"#
//!     ))
//!     .collect();
//! let text = format!(r#"{{"version":1,"vms":[{}]}}"#, gateways.join(","));
//! let list: VmList = serde_json::from_str(&text).expect("a VM list");
//! let id = AttemptId { gateway: VmId(1), incarnation: Incarnation(10), counter: 1 };
//! let request = AttemptRequest {
//!     key: ClaimKey(42), attempt_id: id, deadline: Millis(5_000), jitter_seed: 3,
//! };
//! let (mut attempt, action) = ClaimAttempt::start(request, &list, Millis(0));
//! let AttemptAction::RequestVotes { voters, .. } = action else {
//!     panic!("a claim attempt starts with a vote request");
//! };
//!
//! let granted = || VoteReply {
//!     key: ClaimKey(42), attempt: id, decision: VoteDecision::Granted,
//! };
//! attempt.handle_reply(voters[0], granted(), Millis(1));
//! attempt.handle_reply(voters[1], granted(), Millis(1));
//! let action = attempt.handle_reply(voters[2], granted(), Millis(1));
//! assert_eq!(action, AttemptAction::Dispatch(Millis(2_000)));
//! assert!(attempt.try_dispatch(Millis(1_999)));
//! ```

pub use toucanledge_claims::{
    AddListOutcome, AttemptAction, AttemptId, AttemptRequest, ClaimAttempt, ClaimKey, ClaimLimits,
    ClaimOutcome, ClaimRecord, ClaimVoter, DISPATCH_PERMIT_MS, HistoryReport, LEASE_MS,
    ListHistory, MAX_VOTERS, PeerHistoryReport, RecordDelivery, StoredResponse, VoteDecision,
    VoteRefusal, VoteReply, VoteRequest, quorum, voters,
};
pub use toucanledge_core::{
    CallerHash, ClassId, FailureDomainId, Fingerprint, Incarnation, ListVersion, Millis, PoolId,
    RefusalReason, RequestOutcome, RetryReason, ShardId, TableRevision, VmEntry, VmId, VmList,
    VmListError, VmRole, VmState, rendezvous_order, rendezvous_weight,
};
pub use toucanledge_membership::{
    CrashSuspicion, GatewayState, HEARTBEAT_INTERVAL_MS, HEARTBEAT_TIMEOUT_MS, Heartbeat,
    LocalStatus, MAX_COHORT_SIZE, MAX_SHARD_SIZE, MembershipView, ReceiveOutcome, ShardMap,
    TickOutcome, cohort_of,
};
pub use toucanledge_settings::{
    DispatchPolicy, GatewaySettings, SettingsError, SettingsIssue, load, load_gateway, parse,
};
pub use toucanledge_slots::{
    BackendPolicy, ClassPolicy, DispatchAction, DispatchCounters, EjectionEvent, EjectionReason,
    HeldLease, HeldLeases, LeaseGrant, LeaseId, LeaseOutcome, LeaseQueued, LeaseRefusal,
    LeaseReply, LeaseReport, LeaseRequest, LeaseRequestId, ListedServer, QueueStatus,
    ReinstatementEvent, ReinstatementReason, RouteHash, ServerState, ServerStatus, ShardDispatcher,
    ShardPolicy, ShardStatus, shard_rate_limit,
};
pub use toucanledge_table::{
    ApplyOutcome, BackendRow, CellChange, ClassRow, ColumnSet, ExplainedValue, HEAD_KEY,
    PoolSummary, PublishedTable, RefusedPublication, RepeatRule, RowExplanation, RowKind, RowName,
    RowPosition, TableColumn, TableDiff, TableError, TableErrorKind, TableHead, TableParts,
    TableSource, TableStore, ValueOrigin, diff, explain, explain_backend, part_key,
};
pub use toucanledge_wire::{
    DatagramFault, HeartbeatSocket, LinkConnector, LinkFault, LinkListener, LinkSettings,
    MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_STORED_BODY_BYTES, MessageKind, OpenLink,
    PeerIdentity, PeerLinks, PeerMessage, SendOutcome, ValidationError, WireError, decode,
    decode_heartbeat, encode, encode_heartbeat,
};
