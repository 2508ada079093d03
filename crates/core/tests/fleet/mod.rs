//! Simulated fleet: several nodes that exchange messages through an in-memory queue, with fakes of
//! the platform's services and of the backend servers' load reports.
//!
//! All random choices come from one seed. Each node has its own monotonic clock, which starts at 0
//! with each run. Messages can be lost, delayed, duplicated and reordered; data centres can be cut
//! off from each other and from the platform's services.

#![allow(dead_code)]

mod config_service;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use serde_json::{Value, json};
use turmericrail_core::action::Action;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{ConfigVersion, Incarnation, InstanceId, ServerId};
use turmericrail_core::membership::{ListedInstance, ListedState};
use turmericrail_core::message::Envelope;
use turmericrail_core::node::status::NodeStatus;
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::placement::EngineOrder;
use turmericrail_core::report::LoadReport;
use turmericrail_core::units::{KvPieces, Millis, Streams, WallMillis};

pub use config_service::FakeConfigService;

const TICK_INTERVAL_MS: u64 = 50;
/// Time for which the service holds a watch without changes.
const WATCH_TIMEOUT_MS: u64 = 4_000;
/// Interval at which the service checks each watch for changes.
const SERVICE_POLL_INTERVAL_MS: u64 = 100;

/// Faults of the network between nodes.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    pub max_delay_ms: u64,
    /// Data centres that cannot reach any other one.
    pub cut_off_data_centres: BTreeSet<String>,
}

/// An instance, which may be down (`node` is `None`).
pub struct Member {
    pub id: InstanceId,
    pub data_centre: String,
    pub node: Option<Node>,
    pub is_paused: bool,
    incarnation: u64,
    started_ms: u64,
    run: u64,
    watch_until_ms: Option<u64>,
    highest_version: ConfigVersion,
}

enum ScheduledEvent {
    Tick(usize, u64),
    Deliver(usize, Envelope),
    Report(usize, u64, ServerId),
    PollService(usize, u64),
    ReadInstanceList(usize, u64),
}

/// Called with the index of the sender and each message that is sent, before any fault.
pub type OnSend = Box<dyn FnMut(usize, &Envelope)>;

pub struct Fleet {
    pub members: Vec<Member>,
    pub faults: Faults,
    pub service: FakeConfigService,
    pub now_ms: u64,
    pub on_send: OnSend,
    /// Load report that every backend server returns.
    pub load_report: LoadReport,
    /// Orders that nodes gave to engines, with their times in milliseconds.
    pub orders: Vec<(u64, ServerId, EngineOrder)>,
    is_listing: bool,
    by_address: BTreeMap<std::net::SocketAddr, usize>,
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    last_sequence_number: u64,
    rng: Rng,
}

/// A configuration with `engines` engines in each data centre, every third of them for prefill.
pub fn document(data_centres: &[String], engines: usize) -> Value {
    let mut servers = serde_json::Map::new();
    for data_centre in data_centres {
        for number in 0..engines {
            let role = if number % 3 == 0 { "prefill" } else { "decode" };
            let port = 1_000 + servers.len() % 60_000;
            let address = format!("10.1.0.1:{port}");
            let server = json!({"data_centre": data_centre, "address": address, "role": role});
            servers.insert(format!("{data_centre}-e{number}"), server);
        }
    }
    json!({"version": 1, "servers": servers})
}

impl Fleet {
    /// A fleet with one data centre for each of `sizes`, named `dc0`, `dc1` and so on; no node runs yet.
    pub fn new(seed: u64, sizes: &[usize], engines: usize) -> Self {
        let data_centres: Vec<_> = (0..sizes.len()).map(|number| format!("dc{number}")).collect();
        let mut members = Vec::new();
        for (data_centre, size) in data_centres.iter().zip(sizes) {
            for number in 0..*size {
                members.push(Member {
                    id: format!("{data_centre}-{number}").parse().unwrap(),
                    data_centre: data_centre.clone(),
                    node: None,
                    is_paused: false,
                    incarnation: 0,
                    started_ms: 0,
                    run: 0,
                    watch_until_ms: None,
                    highest_version: ConfigVersion(0),
                });
            }
        }
        let service = FakeConfigService {
            document: document(&data_centres, engines),
            changes: Vec::new(),
            is_down: false,
            max_served_version: None,
            cut_off_data_centres: BTreeSet::new(),
            leaving_servers: Vec::new(),
            call_count: 0,
        };
        let load_report = LoadReport {
            stream_limit_streams: Streams(20),
            kv_total_pieces: KvPieces(2_000),
            kv_free_pieces: KvPieces(2_000),
            ..LoadReport::default()
        };
        let by_address = (0..members.len()).map(|index| (address(index), index)).collect();
        Self {
            members,
            faults: Faults { max_delay_ms: 2, ..Faults::default() },
            service,
            now_ms: 1_000_000,
            on_send: Box::new(|_, _| {}),
            load_report,
            orders: Vec::new(),
            is_listing: true,
            by_address,
            queue: BTreeMap::new(),
            last_sequence_number: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Starts all nodes at random times within half a second.
    pub fn start_all(&mut self) {
        for index in 0..self.members.len() {
            self.start(index);
        }
    }

    /// Starts a new run of a node, with an incarnation derived from the time.
    pub fn start(&mut self, index: usize) {
        let incarnation = self.now_ms * 1_000 + index as u64;
        self.start_with_incarnation(index, incarnation);
    }

    /// Starts a new run of a node with this incarnation.
    pub fn start_with_incarnation(&mut self, index: usize, incarnation: u64) {
        let start_ms = self.now_ms + self.rng.u64(..500);
        let member = &mut self.members[index];
        member.node = Some(Node::new(NodeSettings {
            instance: member.id.clone(),
            incarnation: Incarnation(incarnation),
            data_centre: member.data_centre.parse().unwrap(),
            peer_address: address(index),
            seal_key: SealKey::new("0123456789abcdef"),
        }));
        member.incarnation = incarnation;
        member.started_ms = self.now_ms;
        member.run += 1;
        member.watch_until_ms = None;
        member.highest_version = ConfigVersion(0);
        let run = member.run;
        self.schedule(start_ms, ScheduledEvent::ReadInstanceList(index, run));
        self.schedule(start_ms + 1, ScheduledEvent::PollService(index, run));
        self.schedule(start_ms + 2, ScheduledEvent::Tick(index, run));
    }

    /// Ends a node without a shutdown.
    pub fn kill(&mut self, index: usize) {
        self.members[index].node = None;
        self.members[index].run += 1;
    }

    /// Adds a patch to the configuration and returns its version.
    pub fn accept_patch(&mut self, patch: Value) -> u64 {
        self.service.changes.push(patch);
        self.service.version()
    }

    /// Passes an event to a node and performs the actions that it returns.
    pub fn handle_event(&mut self, index: usize, event: Event) -> Vec<Action> {
        let now = self.local_time(index);
        let Some(node) = &mut self.members[index].node else {
            return Vec::new();
        };
        let actions = node.handle(now, event);
        self.check_config_version(index);
        for action in &actions {
            self.perform(index, action);
        }
        actions
    }

    pub fn run_for(&mut self, for_ms: u64) {
        let until_ms = self.now_ms + for_ms;
        while let Some(entry) = self.queue.first_entry() {
            let at_ms = entry.key().0;
            if at_ms > until_ms {
                break;
            }
            let event = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.process(event);
        }
        self.now_ms = until_ms;
    }

    /// Runs until a condition holds; returns the time it took in milliseconds, or `None` after the limit.
    pub fn run_until(&mut self, limit_ms: u64, is_met: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        loop {
            if is_met(self) {
                return Some(self.now_ms - start_ms);
            }
            if self.now_ms - start_ms >= limit_ms {
                return None;
            }
            self.run_for(100);
        }
    }

    pub fn status(&self, index: usize) -> Option<NodeStatus> {
        self.members[index].node.as_ref().map(Node::status)
    }

    /// Indices of the nodes that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|index| self.members[*index].node.is_some()).collect()
    }

    /// Whether every running node considers exactly the running nodes live.
    pub fn all_agree_on_members(&self) -> bool {
        let running: BTreeSet<_> =
            self.running().into_iter().map(|index| self.members[index].id.clone()).collect();
        self.running().into_iter().all(|index| self.live_members(index) == running)
    }

    /// Members that a node considers live.
    pub fn live_members(&self, index: usize) -> BTreeSet<InstanceId> {
        let node = self.members[index].node.as_ref().expect("the node runs");
        let members = node.member_statuses().into_iter().filter(|member| member.is_live);
        members.map(|member| member.digest.instance).collect()
    }

    /// Whether this configuration version is in force at every running node.
    pub fn all_have_version(&self, version: u64) -> bool {
        let version = ConfigVersion(version);
        let mut nodes = self.members.iter().filter_map(|member| member.node.as_ref());
        nodes.all(|node| node.config_version() == version)
    }

    fn local_time(&self, index: usize) -> Now {
        let monotonic_ms = self.now_ms - self.members[index].started_ms;
        Now { monotonic_ms: Millis(monotonic_ms), wall_ms: WallMillis(self.now_ms) }
    }

    fn check_config_version(&mut self, index: usize) {
        let member = &mut self.members[index];
        let Some(node) = &member.node else {
            return;
        };
        let version = node.config_version();
        assert!(version >= member.highest_version, "the configuration version in force went back");
        member.highest_version = version;
    }

    fn schedule(&mut self, at_ms: u64, event: ScheduledEvent) {
        self.last_sequence_number += 1;
        self.queue.insert((at_ms, self.last_sequence_number), event);
    }

    fn process(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Tick(index, run) if self.members[index].run == run => {
                if !self.members[index].is_paused {
                    self.handle_event(index, Event::Tick);
                }
                self.schedule(self.now_ms + TICK_INTERVAL_MS, ScheduledEvent::Tick(index, run));
            }
            ScheduledEvent::Deliver(to, envelope) if self.members[to].is_paused => {
                self.schedule(
                    self.now_ms + TICK_INTERVAL_MS,
                    ScheduledEvent::Deliver(to, envelope),
                );
            }
            ScheduledEvent::Deliver(to, envelope) => {
                self.handle_event(to, Event::Peer(envelope));
            }
            ScheduledEvent::Report(index, ..) | ScheduledEvent::ReadInstanceList(index, _)
                if self.members[index].is_paused =>
            {
                self.schedule(self.now_ms + TICK_INTERVAL_MS, event);
            }
            ScheduledEvent::Report(index, run, server) if self.members[index].run == run => {
                let report = self.load_report.clone();
                self.handle_event(index, Event::Report(server, report));
            }
            ScheduledEvent::PollService(index, run) if self.members[index].run == run => {
                if !self.members[index].is_paused {
                    self.poll_service(index);
                }
                self.schedule(
                    self.now_ms + SERVICE_POLL_INTERVAL_MS,
                    ScheduledEvent::PollService(index, run),
                );
            }
            ScheduledEvent::ReadInstanceList(index, run) if self.members[index].run == run => {
                self.read_instance_list(index);
                self.schedule(self.now_ms + 1_000, ScheduledEvent::ReadInstanceList(index, run));
            }
            _ => {}
        }
    }

    fn can_reach_service(&self, index: usize) -> bool {
        !self.service.is_down
            && !self.service.cut_off_data_centres.contains(&self.members[index].data_centre)
    }

    fn poll_service(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let Some(after) = self.members[index].node.as_ref().and_then(Node::watch_config_after)
        else {
            self.members[index].watch_until_ms = None;
            return;
        };
        let is_new_call =
            self.members[index].watch_until_ms.is_none_or(|until_ms| until_ms <= now_ms);
        if is_new_call {
            self.service.call_count += 1;
            self.members[index].watch_until_ms = Some(now_ms + WATCH_TIMEOUT_MS);
        }
        if !self.can_reach_service(index) {
            self.members[index].watch_until_ms = Some(now_ms + 1_000);
            self.handle_event(index, Event::ConfigService { is_answered: false });
            return;
        }
        if after.0 == 0 {
            let served_version = self.service.served_version();
            let document = self.service.document_at(served_version);
            self.handle_event(
                index,
                Event::ConfigDocument(ConfigVersion(served_version), document),
            );
            return;
        }
        let changes = self.service.changes_after(after.0);
        if !changes.is_empty() {
            self.members[index].watch_until_ms = None;
            self.handle_event(index, Event::ConfigChanges(changes));
        }
        if is_new_call {
            self.handle_event(index, Event::ConfigService { is_answered: true });
        }
    }

    fn read_instance_list(&mut self, index: usize) {
        if !self.can_reach_service(index) || !self.is_listing {
            return;
        }
        let entries = self.members.iter().enumerate().map(|(other, member)| {
            let entry = ListedInstance {
                data_centre: member.data_centre.parse().unwrap(),
                peer_address: address(other),
                state: ListedState::Live,
            };
            (member.id.clone(), entry)
        });
        let entries = entries.collect();
        self.handle_event(index, Event::InstanceList(entries));
        let leaving = self.service.leaving_servers.clone();
        self.handle_event(index, Event::LeavingServers(leaving));
    }

    fn perform(&mut self, index: usize, action: &Action) {
        match action {
            Action::Send { address, envelope, .. } => self.send(index, address, envelope),
            Action::Poll(target) => {
                let run = self.members[index].run;
                let report = ScheduledEvent::Report(index, run, target.server.clone());
                self.schedule(self.now_ms + 1, report);
            }
            Action::Order { target, order } => {
                self.orders.push((self.now_ms, target.server.clone(), order.clone()));
            }
            Action::FetchDocument if self.can_reach_service(index) => {
                let served_version = self.service.served_version();
                let document = self.service.document_at(served_version);
                self.handle_event(
                    index,
                    Event::ConfigDocument(ConfigVersion(served_version), document),
                );
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, address: &std::net::SocketAddr, envelope: &Envelope) {
        (self.on_send)(from, envelope);
        let Some(to) = self.by_address.get(address).copied() else {
            return;
        };
        let (from_data_centre, to_data_centre) =
            (&self.members[from].data_centre, &self.members[to].data_centre);
        let is_partitioned = self.faults.cut_off_data_centres.contains(from_data_centre)
            || self.faults.cut_off_data_centres.contains(to_data_centre);
        if from_data_centre != to_data_centre && is_partitioned {
            return;
        }
        let copies = 1 + u64::from(self.rng.u64(..100) < self.faults.duplicate_percent);
        for _ in 0..copies {
            if self.rng.u64(..100) < self.faults.loss_percent {
                continue;
            }
            let delay_ms = 1 + self.rng.u64(..=self.faults.max_delay_ms);
            self.schedule(self.now_ms + delay_ms, ScheduledEvent::Deliver(to, envelope.clone()));
        }
    }
}

fn address(index: usize) -> std::net::SocketAddr {
    format!("10.0.{}.{}:7000", index / 200, 1 + index % 200).parse().unwrap()
}
