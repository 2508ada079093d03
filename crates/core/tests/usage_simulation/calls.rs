//! Calls between instances, their replies and failures.

use std::collections::BTreeSet;
use std::sync::Arc;

use turmericrail_core::forward::{Member, UsageReply};

use super::network::{Event, Message, Reply};
use super::{CALL_TIMEOUT_MS, Call, FETCH_TIMEOUT_MS, Fleet, MAX_CALLS, Purpose};

impl Fleet {
    pub(super) fn ask(&mut self, id: usize, redirect: Option<Member>) {
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

    pub(super) fn decide_alone(&mut self, id: usize) {
        let question = self.questions[id];
        let (now, number) = (self.now(), question.instance);
        let order = Arc::clone(&self.instances[number].order);
        let caps = &mut self.instances[number].caps;
        let decided = caps.decide_alone(now, &self.tenant, &self.terms, question.cost, &order);
        self.outcome.alone += 1;
        self.end(id, decided.is_ok());
        self.schedule_report(number);
    }

    pub(super) fn call(&mut self, from: usize, to: usize, purpose: Purpose, message: Message) {
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

    pub(super) fn receive(&mut self, id: u64, to: usize, message: Message) {
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
                let from = self.calls.get(&id).map_or(to, |call| call.from);
                self.learn(to, &BTreeSet::from([from]));
                let (now, order) = (self.now(), Arc::clone(&self.instances[to].order));
                let caps = &mut self.instances[to].caps;
                let levels = caps.levels_for(now, &order, &self.tenant, &asker);
                self.reply(id, to, Reply::Levels(levels));
            }
        }
    }

    pub(super) fn reply(&mut self, id: u64, from: usize, reply: Reply) {
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

    pub(super) fn receive_reply(&mut self, id: u64, reply: Reply) {
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

    pub(super) fn apply(&mut self, call: Call, member: &Member, reply: UsageReply) {
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

    pub(super) fn fail(&mut self, id: u64, is_timed_out: bool) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        if call.run == self.instances[call.from].run && !self.is_down(call.from) {
            self.fail_call(call, is_timed_out);
        }
    }

    pub(super) fn fail_call(&mut self, call: Call, is_timed_out: bool) {
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
}
