//! Fleets that keep usage caps over a network that loses, delays and repeats messages.

mod calls;
mod membership;
mod network;
mod outcome;
mod reports;
mod starts;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use turmericrail_core::forward::{
    CoordinatorOrder, Member, UsageCaps, UsageDecision, UsageLevels, UsageRequest, UsageTerms,
};
use turmericrail_core::ids::{ConfigVersion, TenantId};
use turmericrail_core::units::Millis;

use network::{Event, Network};
pub use outcome::{Decision, Outcome};

pub const DATA_CENTRES: usize = 3;
/// Time until an unanswered call has failed.
const CALL_TIMEOUT_MS: u64 = 100;
/// Time for which a new coordinator waits for its predecessors.
const FETCH_TIMEOUT_MS: u64 = 40;
/// Calls to other members for one request.
const MAX_CALLS: usize = 3;
/// Time in which a killed instance starts again, at the least.
const RESTART_MS: u64 = 1_000;
/// Mean time between its attempts until the first exchange has succeeded.
const FIRST_EXCHANGE_INTERVAL_MS: u64 = 500;
/// Instances that are named to all others.
const SEEDS: usize = 3;
/// Mean time between two exchanges of an instance.
const EXCHANGE_INTERVAL_MS: u64 = 3_000;

/// What a fleet goes through.
#[derive(Clone, Copy)]
pub struct Plan {
    pub instances: usize,
    pub rate_per_s: f64,
    /// Demand as a multiple of the cap.
    pub load: f64,
    /// The same before `load_from_ms`.
    pub load_before: f64,
    pub load_from_ms: u64,
    pub duration_ms: u64,
    /// Messages of a thousand that are lost, and that come twice.
    pub lost_permille: u64,
    pub repeated_permille: u64,
    /// Time in which the last data centre is cut off.
    pub partition_ms: (u64, u64),
    /// Time at which all instances are killed.
    pub kill_all_ms: Option<u64>,
    /// Time between kills of the first candidate for the role of coordinator.
    pub kill_first_every_ms: Option<u64>,
    /// Time between pauses of it, of two seconds each.
    pub pause_first_every_ms: Option<u64>,
}

impl Plan {
    /// A fleet without faults.
    pub fn calm(instances: usize, rate_per_s: f64, load: f64) -> Self {
        Self {
            instances,
            rate_per_s,
            load,
            load_before: load,
            load_from_ms: 0,
            duration_ms: 40_000,
            lost_permille: 0,
            repeated_permille: 0,
            partition_ms: (0, 0),
            kill_all_ms: None,
            kill_first_every_ms: None,
            pause_first_every_ms: None,
        }
    }
}

/// A request of a caller until it is decided.
#[derive(Clone, Copy, Debug)]
struct Question {
    instance: usize,
    sent_ms: u64,
    cost: f64,
    calls: usize,
    is_open: bool,
}

struct Instance {
    caps: UsageCaps,
    order: Arc<CoordinatorOrder>,
    /// The members that it knows.
    known: BTreeSet<usize>,
    has_exchanged: bool,
    /// Calls that wait until this instance has become coordinator.
    waiting: Vec<(usize, u64, UsageRequest)>,
    levels: Vec<UsageLevels>,
    fetches: usize,
    /// Number of the start that is under way.
    start: u64,
    is_starting: bool,
    down_until_ms: u64,
    paused_until_ms: u64,
    run: u64,
}

pub struct Fleet {
    plan: Plan,
    now_ms: u64,
    tenant: TenantId,
    terms: UsageTerms,
    members: Vec<Member>,
    order: Arc<CoordinatorOrder>,
    instances: Vec<Instance>,
    network: Network,
    questions: Vec<Question>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    outcome: Outcome,
}

/// A call that waits for its reply.
struct Call {
    from: usize,
    to: usize,
    run: u64,
    purpose: Purpose,
    /// What it asks or reports; `None` if it is for levels.
    request: Option<UsageRequest>,
}

#[derive(Clone, Copy)]
enum Purpose {
    Question(usize),
    Report,
    /// A report of what a member counted that stands in for a better one.
    DeputyReport,
    Fetch(u64),
}

fn member(number: usize) -> Member {
    Member {
        instance: format!("i{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % DATA_CENTRES).parse().unwrap(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        age_ms: Millis::ZERO,
    }
}

impl Fleet {
    pub fn play(plan: Plan, seed: u64) -> Outcome {
        let tenant: TenantId = "shops".parse().unwrap();
        let members: Vec<_> = (0..plan.instances).map(member).collect();
        let order = Arc::new(CoordinatorOrder::new(&tenant, &members));
        let (rate_per_s, burst) = (plan.rate_per_s, plan.rate_per_s);
        let mut fleet = Self {
            plan,
            now_ms: 20_000,
            tenant,
            terms: UsageTerms { rate_per_s, burst, version: ConfigVersion(1) },
            members,
            order,
            instances: Vec::new(),
            network: Network::new(seed, plan),
            questions: Vec::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            outcome: Outcome::default(),
        };
        fleet.instances = (0..plan.instances).map(|number| fleet.new_instance(number, 0)).collect();
        for number in 0..plan.instances {
            fleet.instances[number].order = Arc::clone(&fleet.order);
            fleet.instances[number].known = (0..plan.instances).collect();
            fleet.instances[number].has_exchanged = true;
            fleet.instances[number].caps.record_exchange();
            let at_ms = fleet.now_ms + fleet.network.draw(EXCHANGE_INTERVAL_MS);
            fleet.network.add(at_ms, Event::Exchange { instance: number });
        }
        fleet.run();
        fleet.outcome
    }

    fn new_instance(&self, number: usize, run: u64) -> Instance {
        let own = self.members[number].clone();
        let order = CoordinatorOrder::new(&self.tenant, std::slice::from_ref(&own));
        Instance {
            caps: UsageCaps::new(Millis(self.now_ms), own, run),
            order: Arc::new(order),
            known: BTreeSet::from([number]),
            has_exchanged: false,
            waiting: Vec::new(),
            levels: Vec::new(),
            fetches: 0,
            start: 0,
            is_starting: false,
            down_until_ms: 0,
            paused_until_ms: 0,
            run,
        }
    }

    fn run(&mut self) {
        let start_ms = self.now_ms;
        let end_ms = start_ms + self.plan.duration_ms;
        let first = self.now_ms + 1;
        self.network.add(first, Event::Demand);
        let kill_all = self.plan.kill_all_ms.map(|at_ms| (at_ms, Event::KillAll));
        let kill_first = self.plan.kill_first_every_ms.map(|at_ms| (at_ms, Event::KillFirst));
        let pause = self.plan.pause_first_every_ms.map(|at_ms| (at_ms, Event::PauseFirst));
        for (at_ms, event) in [kill_all, kill_first, pause].into_iter().flatten() {
            self.network.add(start_ms + at_ms, event);
        }
        self.network.start_ms = start_ms;
        while let Some((at_ms, event)) = self.network.next() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = at_ms;
            self.handle(event);
        }
        self.outcome.start_ms = start_ms;
    }

    fn now(&self) -> Millis {
        Millis(self.now_ms)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Demand => self.demand(),
            Event::Exchange { instance } => self.exchange(instance),
            Event::Arrive { question } => self.decide(question),
            Event::Call { id, to, message } => self.receive(id, to, message),
            Event::Reply { id, reply } => self.receive_reply(id, reply),
            Event::Timeout { id } => self.fail(id, true),
            Event::FetchEnd { instance, start } => self.end_start(instance, start),
            Event::Report { instance } => self.report(instance),
            Event::DeputyReport { instance } => self.report_as_deputy(instance),
            Event::KillAll => (0..self.instances.len()).for_each(|number| self.kill(number)),
            Event::KillFirst => {
                let first = self.first();
                self.kill(first);
                let every_ms = self.plan.kill_first_every_ms.unwrap();
                self.network.add(self.now_ms + every_ms, Event::KillFirst);
            }
            Event::PauseFirst => {
                let first = self.first();
                self.instances[first].paused_until_ms = self.now_ms + 2_000;
                let every_ms = self.plan.pause_first_every_ms.unwrap();
                self.network.add(self.now_ms + every_ms, Event::PauseFirst);
            }
            Event::Restart { instance } => {
                let run = self.instances[instance].run + 1;
                self.instances[instance] = self.new_instance(instance, run);
                let interval_ms = FIRST_EXCHANGE_INTERVAL_MS;
                let at_ms = self.now_ms + interval_ms / 4 * 3 + self.network.draw(interval_ms / 2);
                self.network.add(at_ms, Event::Exchange { instance });
            }
        }
    }

    fn first(&self) -> usize {
        self.number(&self.order.candidates()[0])
    }

    fn number(&self, member: &Member) -> usize {
        usize::from(member.address.port()) - 1_000
    }

    fn is_down(&self, instance: usize) -> bool {
        self.now_ms < self.instances[instance].down_until_ms
    }

    fn kill(&mut self, number: usize) {
        let until_ms = self.now_ms + RESTART_MS + self.network.draw(RESTART_MS);
        let instance = &mut self.instances[number];
        instance.down_until_ms = until_ms;
        instance.run += 1;
        for question in self.questions.iter_mut().filter(|it| it.instance == number) {
            question.is_open = false;
        }
        self.network.add(until_ms, Event::Restart { instance: number });
    }

    /// Time at which a paused instance goes on.
    fn resumes_ms(&self, number: usize) -> Option<u64> {
        let until_ms = self.instances[number].paused_until_ms;
        (self.now_ms < until_ms).then_some(until_ms)
    }

    fn demand(&mut self) {
        let elapsed_ms = self.now_ms - self.network.start_ms;
        let is_before = elapsed_ms < self.plan.load_from_ms;
        let load = if is_before { self.plan.load_before } else { self.plan.load };
        let instance = self.network.draw(self.instances.len() as u64) as usize;
        let cost = 4_000.0 + self.network.draw(3_600) as f64;
        let sent_ms = self.now_ms;
        self.questions.push(Question { instance, sent_ms, cost, calls: 0, is_open: true });
        let question = self.questions.len() - 1;
        let arrival_ms = self.now_ms + 3;
        self.network.add(arrival_ms, Event::Arrive { question });
        // Callers send at intervals of half to one and a half times the mean.
        let mean_us = 5_800.0 / (load * self.plan.rate_per_s) * 1e6;
        let spread = 0.5 + self.network.draw(1_000) as f64 / 1_000.0;
        let next_ms = self.network.next_demand(mean_us * spread);
        self.network.add(next_ms, Event::Demand);
    }

    fn decide(&mut self, id: usize) {
        let question = self.questions[id];
        if !question.is_open || self.is_down(question.instance) {
            self.questions[id].is_open = false;
            return;
        }
        if let Some(resumes_ms) = self.resumes_ms(question.instance) {
            self.network.add(resumes_ms, Event::Arrive { question: id });
            return;
        }
        let (now, instance) = (self.now(), &mut self.instances[question.instance]);
        match instance.caps.decide(now, &self.tenant, &self.terms, question.cost) {
            UsageDecision::Admitted => self.end(id, true),
            UsageDecision::Refused(_) => self.end(id, false),
            UsageDecision::AskMeanwhile | UsageDecision::AskFirst => self.ask(id, None),
        }
        self.schedule_report(question.instance);
    }

    fn end(&mut self, id: usize, is_admitted: bool) {
        let question = &mut self.questions[id];
        question.is_open = false;
        let (sent_ms, cost) = (question.sent_ms, question.cost);
        let decided_ms = self.now_ms;
        self.outcome.decisions.push(Decision { sent_ms, decided_ms, cost, is_admitted });
    }
}
