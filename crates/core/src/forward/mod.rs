//! Chooses the backend server of each forwarded call. Servers register themselves and may come and
//! go at any time.
//!
//! A call finds its [`Route`] by host and longest path prefix in the current [`RouteTable`], and a
//! server in the [`ServerRegistry`]. [`Forwarder`] combines both with the load and health seen in
//! this instance's own calls and in the servers' answers. Time and random numbers are passed in as
//! arguments; the network calls are made elsewhere.

mod forwarder;
mod limits;
mod losses;
mod overload;
mod peers;
mod reach;
mod roles;
mod routes;
mod selection;
mod servers;
mod speed;
mod tenants;
mod usage;
mod versions;

pub use forwarder::{Forwarder, ForwarderSettings};
pub use limits::{
    CallLimits, CallSends, CallerRetryDetector, LimitStatement, RetryBounds, RetryWindow,
    SendPermit,
};
pub use losses::{
    Admission, BrokenCall, BrokenCalls, BrokenKind, Loss, LossCause, LossNotice, LossRecords,
    LossSubject, Quarantine, RequestTraits, Survival, Suspect,
};
pub use overload::{
    ServiceOverload, ServiceRanks, Standing, TenantRates, Urgency, headroom_tokens,
};
pub use peers::{
    ExchangePace, FollowPlan, Member, MemberFilter, MemberList, Members, ToldMembers,
    TransferBudget, Watcher,
};
pub use reach::{DeclineReason, HandoverTargets, ReachChange, ServiceReach};
pub use roles::{RoleLoad, order_right};
pub use routes::{
    EngineLimits, RequestLimits, Route, RouteKind, RouteTable, Service, TableError, WeightedService,
};
pub use selection::{
    EngineFilter, EngineReport, KvOrigin, ModelCallSize, ModelPlan, PlanRefusal,
    ReservationPressure, ReservationRound, VersionNeed,
};
pub use servers::{
    CallEnd, ChosenServer, FailureScore, LeavingRuns, PublishedItem, PublishedSet, ReportedLoad,
    ServerEntry, ServerLoad, ServerRegistry, ServerRun, ServerState, ServerUpdate,
};
pub use speed::{LastingSlowdown, LastingSpeed, MomentarySlowdown, ServerSpeed, WorkTimePercent};
pub use tenants::{ApiKey, Tenant, TenantError, TenantTable, UsageCap, UsageUnit};
pub use usage::{
    CoordinatorOrder, MessageId, SuspectMembers, UsageBucket, UsageCaps, UsageCoordinator,
    UsageDecision, UsageLevels, UsageReply, UsageReports, UsageRequest, UsageStep, UsageTerms,
    UsageView,
};
pub use versions::{
    SeenRun, SeenRuns, SoftwareVersion, StreamKey, StreamVersion, StreamVersions, VersionHistory,
};
