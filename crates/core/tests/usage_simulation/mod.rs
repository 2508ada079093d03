//! Fleets that keep usage caps over a network that loses, delays and repeats messages.

mod network;
mod outcome;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use turmericrail_core::forward::{
    CoordinatorOrder, Member, UsageCaps, UsageDecision, UsageLevels, UsageReply, UsageRequest,
    UsageStep, UsageTerms,
};
use turmericrail_core::ids::{ConfigVersion, TenantId};
use turmericrail_core::units::Millis;

use network::{Event, Message, Network, Reply};
pub use outcome::{Decision, Outcome};

pub const DATA_CENTRES: usize = 3;
/// Time until an unanswered call has failed.
const CALL_TIMEOUT_MS: u64 = 100;
/// Time for which a new coordinator waits for its predecessors.
const FETCH_TIMEOUT_MS: u64 = 40;
/// Calls to other members for one request.
const MAX_CALLS: usize = 3;
/// Time in which a killed instance starts again, and in which it then learns its members.
const RESTART_MS: u64 = 1_000;
const FIRST_EXCHANGE_MS: u64 = 600;
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
                let at_ms =
                    self.now_ms + FIRST_EXCHANGE_MS / 2 + self.network.draw(FIRST_EXCHANGE_MS);
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

    /// An exchange with a random member, in which both hear from each other.
    fn exchange(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let interval_ms =
            EXCHANGE_INTERVAL_MS / 4 * 3 + self.network.draw(EXCHANGE_INTERVAL_MS / 2);
        self.network.add(self.now_ms + interval_ms, Event::Exchange { instance: number });
        let other = self.network.draw(self.instances.len() as u64) as usize;
        let is_reached = !self.is_down(other)
            && self.resumes_ms(other).is_none()
            && self.network.is_connected(self.now_ms, number, other);
        if !is_reached || other == number {
            return;
        }
        let now = self.now();
        for (one, other) in [(number, other), (other, number)] {
            let member = self.members[other].clone();
            let instance = &mut self.instances[one];
            instance.caps.record_exchange();
            instance.order = Arc::clone(&self.order);
            instance.caps.members().record_contact(now, &member.instance, &member.data_centre);
        }
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

    fn ask(&mut self, id: usize, redirect: Option<Member>) {
        let question = self.questions[id];
        let (now, number) = (self.now(), question.instance);
        let order = Arc::clone(&self.instances[number].order);
        let target = match redirect {
            Some(member) => Some(member),
            None => self.instances[number].caps.choose(now, &order).cloned(),
        };
        let Some(target) = target.filter(|_| question.calls < MAX_CALLS) else {
            return self.decide_alone(id);
        };
        self.questions[id].calls += 1;
        let caps = &mut self.instances[number].caps;
        let request = caps.question(now, &self.tenant, self.terms, &target.instance, question.cost);
        let to = self.number(&target);
        self.call(number, to, Purpose::Question(id), Message::Reserve(request));
    }

    fn decide_alone(&mut self, id: usize) {
        let question = self.questions[id];
        let (now, number) = (self.now(), question.instance);
        let order = Arc::clone(&self.instances[number].order);
        let caps = &mut self.instances[number].caps;
        let decided = caps.decide_alone(now, &self.tenant, &self.terms, question.cost, &order);
        self.outcome.alone += 1;
        self.end(id, decided.is_ok());
        self.schedule_report(number);
    }

    fn call(&mut self, from: usize, to: usize, purpose: Purpose, message: Message) {
        let id = self.next_call;
        self.next_call += 1;
        let run = self.instances[from].run;
        let request = match &message {
            Message::Reserve(request) => Some(request.clone()),
            Message::Fetch(_) => None,
        };
        self.calls.insert(id, Call { from, to, run, purpose, request });
        if from == to {
            self.network.add(self.now_ms, Event::Call { id, to, message });
            return;
        }
        self.outcome.messages += 1;
        let timeout_ms = match purpose {
            Purpose::Fetch(_) => FETCH_TIMEOUT_MS,
            _ => CALL_TIMEOUT_MS,
        };
        self.network.add(self.now_ms + timeout_ms, Event::Timeout { id });
        for at_ms in self.network.deliveries(self.now_ms, from, to) {
            self.network.add(at_ms, Event::Call { id, to, message: message.clone() });
        }
    }

    fn receive(&mut self, id: u64, to: usize, message: Message) {
        if self.is_down(to) {
            // The connection is refused.
            return self.fail(id, false);
        }
        if let Some(resumes_ms) = self.resumes_ms(to) {
            self.network.add(resumes_ms, Event::Call { id, to, message });
            return;
        }
        match message {
            Message::Reserve(request) => self.reserve(id, to, request),
            Message::Fetch(asker) => {
                let (now, order) = (self.now(), Arc::clone(&self.instances[to].order));
                let caps = &mut self.instances[to].caps;
                let levels = caps.levels_for(now, &order, &self.tenant, &asker);
                self.reply(id, to, Reply::Levels(levels));
            }
        }
    }

    fn reserve(&mut self, id: u64, to: usize, request: UsageRequest) {
        if self.instances[to].is_starting {
            self.instances[to].waiting.push((to, id, request));
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[to].order));
        match self.instances[to].caps.reserve(now, &order, &request) {
            UsageStep::Reply(reply) => {
                self.reply(id, to, Reply::Usage(reply));
                self.schedule_deputy_report(to);
            }
            UsageStep::Redirect(member) => self.reply(id, to, Reply::Redirect(member)),
            UsageStep::Unable => self.reply(id, to, Reply::Unable),
            UsageStep::Start(predecessors) => self.begin_start(id, to, request, &predecessors),
        }
    }

    fn begin_start(&mut self, id: u64, to: usize, request: UsageRequest, others: &[Member]) {
        let instance = &mut self.instances[to];
        instance.is_starting = true;
        instance.start += 1;
        instance.waiting = vec![(to, id, request)];
        instance.levels.clear();
        instance.fetches = others.len();
        let start = instance.start;
        self.outcome.starts += 1;
        self.network.add(self.now_ms + FETCH_TIMEOUT_MS, Event::FetchEnd { instance: to, start });
        for other in others {
            let other = self.number(other);
            let asker = self.members[to].instance.clone();
            self.call(to, other, Purpose::Fetch(start), Message::Fetch(asker));
        }
    }

    fn end_start(&mut self, number: usize, start: u64) {
        let instance = &mut self.instances[number];
        if self.now_ms < instance.down_until_ms || !instance.is_starting || instance.start != start
        {
            return;
        }
        instance.is_starting = false;
        let now = Millis(self.now_ms);
        let order = Arc::clone(&instance.order);
        let mut waiting = VecDeque::from(std::mem::take(&mut instance.waiting));
        let Some((_, id, request)) = waiting.pop_front() else {
            return;
        };
        let levels = std::mem::take(&mut instance.levels);
        let reply = instance.caps.start(now, &order, &request, levels);
        self.reply(id, number, Reply::Usage(reply));
        for (to, id, request) in waiting {
            self.reserve(id, to, request);
        }
    }

    fn reply(&mut self, id: u64, from: usize, reply: Reply) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let to = call.from;
        if from == to {
            self.receive_reply(id, reply);
            return;
        }
        if let Some(at_ms) = self.network.deliveries(self.now_ms, from, to).first() {
            self.network.add(*at_ms, Event::Reply { id, reply });
        }
    }

    fn receive_reply(&mut self, id: u64, reply: Reply) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if call.run != self.instances[call.from].run || self.is_down(call.from) {
            return;
        }
        if let (Purpose::Fetch(start), Reply::Levels(levels)) = (call.purpose, &reply) {
            let instance = &mut self.instances[call.from];
            instance.levels.push(*levels);
            instance.fetches = instance.fetches.saturating_sub(1);
            if instance.fetches == 0 {
                self.end_start(call.from, start);
            }
            return;
        }
        let member = self.members[call.to].clone();
        match reply {
            Reply::Usage(reply) => self.apply(call, &member, reply),
            Reply::Redirect(next) => match call.purpose {
                Purpose::Question(id) if self.questions[id].is_open => self.ask(id, Some(next)),
                Purpose::DeputyReport => self.retry_deputy_report(call.from),
                _ => self.retry_report(call.from),
            },
            Reply::Unable => self.fail_call(call, false),
            Reply::Levels(_) => {}
        }
    }

    fn apply(&mut self, call: Call, member: &Member, reply: UsageReply) {
        let now = self.now();
        let caps = &mut self.instances[call.from].caps;
        if let Some(request) = &call.request {
            caps.record_reply(now, member, request, &reply);
        }
        match call.purpose {
            Purpose::Question(id) if self.questions[id].is_open => self.end(id, reply.is_granted),
            Purpose::Question(_) | Purpose::Fetch(_) => {}
            Purpose::DeputyReport => {
                if let Some(coordinator) = caps.coordinator(&self.tenant) {
                    coordinator.reports().confirm(now);
                }
                self.schedule_deputy_report(call.from);
            }
            Purpose::Report => {
                caps.view(now, &self.tenant).reports().confirm(now);
                self.schedule_report(call.from);
            }
        }
    }

    fn fail(&mut self, id: u64, is_timed_out: bool) {
        if let Some(call) = self.calls.remove(&id) {
            if call.run == self.instances[call.from].run && !self.is_down(call.from) {
                self.fail_call(call, is_timed_out);
            }
        }
    }

    fn fail_call(&mut self, call: Call, is_timed_out: bool) {
        let (now, member) = (self.now(), self.members[call.to].clone());
        if let Some(request) = &call.request {
            let caps = &mut self.instances[call.from].caps;
            caps.record_failure(now, &member, request, is_timed_out);
        }
        match call.purpose {
            Purpose::Question(id) if self.questions[id].is_open => self.ask(id, None),
            Purpose::Question(_) => {}
            Purpose::Report => self.retry_report(call.from),
            Purpose::DeputyReport => self.retry_deputy_report(call.from),
            Purpose::Fetch(start) => {
                let instance = &mut self.instances[call.from];
                instance.fetches = instance.fetches.saturating_sub(1);
                if instance.fetches == 0 {
                    self.end_start(call.from, start);
                }
            }
        }
    }

    fn schedule_report(&mut self, number: usize) {
        let now = self.now();
        let view = self.instances[number].caps.view(now, &self.tenant);
        if let Some(due_ms) = view.reports().due_in_ms(now) {
            self.network.add(self.now_ms + due_ms.0, Event::Report { instance: number });
        }
    }

    fn report(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        if caps.view(now, &self.tenant).reports().due_in_ms(now) != Some(Millis::ZERO) {
            return;
        }
        let Some(target) = caps.choose(now, &order).cloned() else {
            return self.retry_report(number);
        };
        let request = caps.report(now, &self.tenant, self.terms, &target.instance);
        let to = self.number(&target);
        self.call(number, to, Purpose::Report, Message::Reserve(request));
    }

    fn retry_report(&mut self, number: usize) {
        let now = self.now();
        self.instances[number].caps.view(now, &self.tenant).reports().keep_failed(now);
        self.schedule_report(number);
    }

    fn schedule_deputy_report(&mut self, number: usize) {
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        if let Some((_, due_ms)) = caps.deputy_report_due_in_ms(now, &order, &self.tenant) {
            self.network.add(self.now_ms + due_ms.0, Event::DeputyReport { instance: number });
        }
    }

    fn report_as_deputy(&mut self, number: usize) {
        if self.is_down(number) {
            return;
        }
        let (now, order) = (self.now(), Arc::clone(&self.instances[number].order));
        let caps = &mut self.instances[number].caps;
        let due = caps.deputy_report_due_in_ms(now, &order, &self.tenant);
        let Some((better, Millis::ZERO)) = due else {
            return;
        };
        if let Some(request) = caps.deputy_report(now, &self.tenant, self.terms) {
            let to = self.number(better);
            self.call(number, to, Purpose::DeputyReport, Message::Reserve(request));
        }
    }

    fn retry_deputy_report(&mut self, number: usize) {
        let now = self.now();
        let caps = &mut self.instances[number].caps;
        if let Some(coordinator) = caps.coordinator(&self.tenant) {
            coordinator.reports().keep_failed(now);
        }
        self.schedule_deputy_report(number);
    }
}
