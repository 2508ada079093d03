//! A fleet without a network whose instances all start at one moment: what each sends, and when all
//! of them know the members and the configuration.
//!
//! An instance has a slow processor and a narrow link, on which messages wait for each other. Sizes
//! and processor times are those of the daemon's messages, rounded up.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::rc::Rc;

use turmericrail_core::forward::{
    ExchangePace, Member, MemberFilter, MemberList, Members, ToldMembers,
};
use turmericrail_core::ids::DataCentreId;
use turmericrail_core::units::Millis;

pub const DATA_CENTRES: usize = 5;
const SEEDS: usize = 3;
/// Bytes that a link of 10 Mbit/s takes in a millisecond.
const LINK_BYTES_PER_MS: u64 = 1_250;
/// Parts of a core that an instance has, in hundredths.
const CORE_PERCENT: u64 = 12;
/// Processor time of one side of an exchange on a new connection, in microseconds.
const EXCHANGE_CPU_US: u64 = 1_500;
/// Processor time for one told member, in microseconds.
const MEMBER_CPU_US: u64 = 4;
/// Processor time to read configuration and servers from the store, in microseconds.
const LISTING_CPU_US: u64 = 30_000;
/// Configuration and servers as the store sends them.
const LISTING_BYTES: u64 = 200_000;
/// Bytes that the store sends in a millisecond to all.
const STORE_BYTES_PER_MS: u64 = 125_000;
const ONE_WAY_MS: u64 = 2;
const EXCHANGE_TIMEOUT_MS: u64 = 2_000;
const CONNECT_TIMEOUT_MS: u64 = 600;
/// Sizes of messages; connection and framing included.
const REQUEST_BYTES: u64 = 1_000;
const REPLY_BYTES: u64 = 500;
const MEMBER_BYTES: u64 = 60;
const FILTER_BYTES: u64 = 270;
/// Size of a second request on the same connection and of its empty reply, without members.
const REST_BYTES: u64 = 350;
const REST_CPU_US: u64 = 500;
/// Bytes of the age of one member, where both know the same ones.
const AGE_BYTES: u64 = 3;
const WINDOW_MS: u64 = 1_000;

enum Event {
    Call,
    Request { from: usize, sent_ms: u64, filter: MemberFilter, ages: usize },
    Reply { from: usize, sent_ms: u64, members: Vec<Member>, known: Option<Known> },
    Rest { members: Vec<Member> },
    Timeout { sent_ms: u64 },
}

/// What an instance says of its members where the caller knows others.
struct Known {
    /// Absent if the instance has just told many others.
    filter: Option<MemberFilter>,
    data_centre: DataCentreId,
    count: usize,
}

struct Instance {
    members: Members,
    /// The members as a list; `None` since they changed.
    list: Option<Rc<MemberList>>,
    told: ToldMembers,
    told_count: usize,
    pace: ExchangePace,
    is_settled: bool,
    /// When the exchange under way was sent.
    pending_ms: Option<u64>,
    processor_free_ms: u64,
    link_free_ms: u64,
    sent_bytes: u64,
    sent_by_second: Vec<u64>,
    messages: u64,
    configured_ms: u64,
    settled_ms: u64,
}

/// What a start cost.
#[derive(Debug)]
pub struct Outcome {
    pub configured_ms: u64,
    pub members_ms: u64,
    pub mean_bytes: u64,
    pub busiest_bytes: u64,
    pub median_bytes: u64,
    /// Most bytes that one instance sent in one second.
    pub busiest_second_bytes: u64,
    pub mean_messages: f64,
}

pub struct Fleet {
    instances: Vec<Instance>,
    /// Seeds that answer.
    live_seeds: usize,
    random: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    payloads: std::collections::BTreeMap<u64, Event>,
    now_ms: u64,
}

pub fn member(number: usize) -> Member {
    Member {
        instance: format!("front-{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % DATA_CENTRES).parse().unwrap(),
        address: ([127, 0, 0, 1], number as u16).into(),
        age_ms: Millis(0),
    }
}

impl Instance {
    fn list(&mut self, own: usize, now_ms: u64) -> Rc<MemberList> {
        let list = self.list.get_or_insert_with(|| {
            let mut members = self.members.list(Millis(now_ms));
            members.push(member(own));
            Rc::new(MemberList::new(members))
        });
        Rc::clone(list)
    }

    /// Merges members; returns the number of new ones.
    fn merge(&mut self, now_ms: u64, members: &[Member]) -> usize {
        let before = self.members.count();
        members.iter().for_each(|member| self.members.merge(Millis(now_ms), member));
        let new_members = self.members.count() - before;
        if new_members > 0 {
            self.list = None;
        }
        new_members
    }
}

impl Fleet {
    /// Instances that start within a tenth of a second; `live_seeds` of the seeds answer.
    pub fn start(count: usize, live_seeds: usize, seed: u64) -> Self {
        let mut fleet = Self {
            instances: Vec::new(),
            live_seeds,
            random: fastrand::Rng::with_seed(seed),
            events: BinaryHeap::new(),
            payloads: Default::default(),
            now_ms: 0,
        };
        let mut store_free_ms = 0;
        for number in 0..count {
            let begin_ms = fleet.random.u64(..100);
            store_free_ms = begin_ms.max(store_free_ms) + LISTING_BYTES / STORE_BYTES_PER_MS;
            let read_ms = store_free_ms + LISTING_BYTES / LINK_BYTES_PER_MS + 2 * ONE_WAY_MS;
            let configured_ms = read_ms + LISTING_CPU_US * 100 / CORE_PERCENT / 1_000;
            fleet.instances.push(Instance {
                members: Members::new(member(number).instance),
                list: None,
                told: ToldMembers::default(),
                told_count: 0,
                pace: ExchangePace::default(),
                is_settled: false,
                pending_ms: None,
                processor_free_ms: begin_ms,
                link_free_ms: begin_ms,
                sent_bytes: 0,
                sent_by_second: Vec::new(),
                messages: 0,
                configured_ms,
                settled_ms: u64::MAX,
            });
            if !(live_seeds..SEEDS).contains(&number) {
                fleet.schedule_call(number, begin_ms);
            }
        }
        fleet
    }

    /// Plays until all know all members, or the time is over.
    pub fn play(mut self, end_ms: u64) -> Outcome {
        while let Some(Reverse((at_ms, id, receiver))) = self.events.pop() {
            if at_ms > end_ms || self.are_all_settled() {
                break;
            }
            self.now_ms = at_ms;
            let event = self.payloads.remove(&id).unwrap();
            self.handle(receiver, event);
        }
        self.outcome()
    }

    fn live(&self) -> impl Iterator<Item = &Instance> {
        let gone = self.live_seeds..SEEDS;
        let numbered = self.instances.iter().enumerate();
        numbered.filter(move |(number, _)| !gone.contains(number)).map(|(_, instance)| instance)
    }

    fn are_all_settled(&self) -> bool {
        self.live().all(|instance| instance.settled_ms < u64::MAX)
    }

    fn outcome(&self) -> Outcome {
        let mut bytes: Vec<_> = self.instances.iter().map(|it| it.sent_bytes).collect();
        bytes.sort();
        let count = self.instances.len() as u64;
        let seconds = self.instances.iter().flat_map(|it| it.sent_by_second.iter().copied());
        let messages = self.instances.iter().map(|it| it.messages);
        Outcome {
            configured_ms: self.instances.iter().map(|it| it.configured_ms).max().unwrap(),
            members_ms: self.live().map(|it| it.settled_ms).max().unwrap(),
            mean_bytes: bytes.iter().sum::<u64>() / count,
            busiest_bytes: bytes[bytes.len() - 1],
            median_bytes: bytes[bytes.len() / 2],
            busiest_second_bytes: seconds.max().unwrap(),
            mean_messages: messages.sum::<u64>() as f64 / count as f64,
        }
    }

    fn schedule(&mut self, at_ms: u64, receiver: usize, event: Event) {
        let id = self.payloads.last_key_value().map_or(0, |(id, _)| id + 1);
        self.payloads.insert(id, event);
        self.events.push(Reverse((at_ms, id, receiver)));
    }

    fn schedule_call(&mut self, number: usize, from_ms: u64) {
        let wait_ms = self.instances[number].pace.wait_ms(false, self.random.f64()).0;
        self.schedule(from_ms + wait_ms, number, Event::Call);
    }

    /// Time at which an instance has done work of its processor.
    fn work(&mut self, number: usize, cpu_us: u64) -> u64 {
        let own = &mut self.instances[number];
        let begin_ms = own.processor_free_ms.max(self.now_ms);
        own.processor_free_ms = begin_ms + (cpu_us * 100 / CORE_PERCENT).div_ceil(1_000);
        own.processor_free_ms
    }

    /// Time at which a message of an instance arrives.
    fn send(&mut self, number: usize, ready_ms: u64, bytes: u64) -> u64 {
        let own = &mut self.instances[number];
        own.link_free_ms = own.link_free_ms.max(ready_ms) + bytes.div_ceil(LINK_BYTES_PER_MS);
        own.sent_bytes += bytes;
        own.messages += 1;
        let second = (own.link_free_ms / WINDOW_MS) as usize;
        own.sent_by_second.resize(own.sent_by_second.len().max(second + 1), 0);
        own.sent_by_second[second] += bytes;
        own.link_free_ms + ONE_WAY_MS
    }

    fn choose_peer(&mut self, number: usize) -> usize {
        let members = &self.instances[number].members;
        let count = members.count().max(self.instances[number].told_count);
        let share = ExchangePace::seed_share(number < SEEDS, SEEDS, count);
        let seeds = [0, 1, 2].map(|seed| member(seed).address);
        let known = members.pick_random(&seeds, self.random.u64(..));
        let known = known.map(|address: SocketAddr| usize::from(address.port()));
        let random = self.random.usize(..);
        let seed = self.instances[number].pace.seed_index(number, random, SEEDS);
        if self.random.f64() < share { seed } else { known.unwrap_or(seed) }
    }

    fn handle(&mut self, number: usize, event: Event) {
        match event {
            Event::Call => self.call(number),
            Event::Request { from, sent_ms, filter, ages } => {
                self.answer(number, from, sent_ms, &filter, ages);
            }
            Event::Reply { from, sent_ms, members, known } => {
                if self.instances[number].pending_ms == Some(sent_ms) {
                    self.take_reply(number, from, &members, known);
                }
            }
            Event::Rest { members } => {
                let now_ms = self.now_ms;
                self.instances[number].merge(now_ms, &members);
                self.record_members(number);
                self.work(number, REST_CPU_US + members.len() as u64 * MEMBER_CPU_US);
            }
            Event::Timeout { sent_ms } => {
                if self.instances[number].pending_ms == Some(sent_ms) {
                    self.instances[number].pending_ms = None;
                    self.instances[number].pace.record_failure();
                    self.schedule_call(number, self.now_ms);
                }
            }
        }
    }

    fn call(&mut self, number: usize) {
        let peer = self.choose_peer(number);
        let sent_ms = self.now_ms;
        self.instances[number].pending_ms = Some(sent_ms);
        let is_gone = peer == number || (self.live_seeds..SEEDS).contains(&peer);
        let timeout_ms = if is_gone { CONNECT_TIMEOUT_MS } else { EXCHANGE_TIMEOUT_MS };
        self.schedule(sent_ms + timeout_ms, number, Event::Timeout { sent_ms });
        if is_gone {
            return;
        }
        let known = self.instances[number].list(number, sent_ms);
        let filter = MemberFilter::new(&known, self.random.u64(..));
        let ages = if self.instances[number].is_settled { known.members().len() } else { 0 };
        let ready_ms = self.work(number, EXCHANGE_CPU_US);
        let arrival_ms = self.send(number, ready_ms, REQUEST_BYTES + ages as u64 * AGE_BYTES);
        self.schedule(arrival_ms, peer, Event::Request { from: number, sent_ms, filter, ages });
    }

    fn answer(
        &mut self,
        number: usize,
        from: usize,
        sent_ms: u64,
        filter: &MemberFilter,
        ages: usize,
    ) {
        let caller = member(from);
        let own = self.instances[number].list(number, self.now_ms);
        let callers = self.instances[from].list(from, self.now_ms);
        let is_same = own.identities() == callers.identities();
        let mut members = Vec::new();
        let (mut known, mut filter_bytes) = (None, 0);
        if !is_same {
            let is_free = self.instances[number].told.is_free(Millis(self.now_ms));
            members = self.select_told(number, &own, filter, &caller.data_centre);
            let filter = is_free.then(|| MemberFilter::new(&own, self.random.u64(..)));
            filter_bytes = if is_free { FILTER_BYTES } else { 0 };
            let data_centre = member(number).data_centre;
            known = Some(Known { filter, data_centre, count: own.members().len() });
        }
        let now_ms = self.now_ms;
        self.instances[number].merge(now_ms, &[caller]);
        self.record_members(number);
        let told = members.len() as u64;
        let ready_ms = self.work(number, EXCHANGE_CPU_US + (told + ages as u64) * MEMBER_CPU_US);
        let rest_bytes = match is_same {
            true => own.members().len() as u64 * AGE_BYTES,
            false => filter_bytes + told * MEMBER_BYTES,
        };
        let arrival_ms = self.send(number, ready_ms, REPLY_BYTES + rest_bytes);
        self.schedule(arrival_ms, from, Event::Reply { from: number, sent_ms, members, known });
    }

    fn select_told(
        &mut self,
        number: usize,
        own: &MemberList,
        filter: &MemberFilter,
        data_centre: &DataCentreId,
    ) -> Vec<Member> {
        let (random, now_ms) = (self.random.u64(..), Millis(self.now_ms));
        let told = &mut self.instances[number].told;
        let members = own.select_unknown(Some(filter), data_centre, random, told.allowed(now_ms));
        told.record(now_ms, members.len());
        members
    }

    fn take_reply(&mut self, number: usize, from: usize, members: &[Member], known: Option<Known>) {
        let now_ms = self.now_ms;
        let own = &mut self.instances[number];
        own.pending_ms = None;
        own.is_settled = known.is_none();
        let before = own.list(number, now_ms);
        let new_members = own.merge(now_ms, members);
        own.told_count = known.as_ref().map_or(0, |known| known.count);
        let is_behind = known.as_ref().is_some_and(|known| known.count > own.members.count());
        own.pace.record_exchange(new_members, is_behind);
        self.record_members(number);
        let done_ms = self.work(number, members.len() as u64 * MEMBER_CPU_US);
        self.schedule_call(number, done_ms);
        let Some(Known { filter: Some(filter), data_centre, .. }) = known else {
            return;
        };
        let rest = self.select_told(number, &before, &filter, &data_centre);
        if !rest.is_empty() {
            let bytes = REST_BYTES + rest.len() as u64 * MEMBER_BYTES;
            let arrival_ms = self.send(number, done_ms, bytes);
            self.schedule(arrival_ms, from, Event::Rest { members: rest });
        }
    }

    fn record_members(&mut self, number: usize) {
        let gone = SEEDS - self.live_seeds;
        let count = self.instances.len() - gone;
        let own = &mut self.instances[number];
        if own.members.count() >= count && own.settled_ms == u64::MAX {
            own.settled_ms = self.now_ms;
        }
    }
}
