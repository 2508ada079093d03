//! Whole fleets whose engines are lost to parts of prompts and by themselves: what engines are
//! sent, and which sound prompts are refused.

mod forward_support;

use std::collections::BTreeMap;

use forward_support::mixed;
use turmericrail_core::forward::{
    Admission, Loss, LossNotice, Quarantine, RequestTraits, ServerRun,
};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};

const STEP_MS: u64 = 10;
const DAY_MS: u64 = 30_000;
const ANSWER_MS: u64 = 3_000;
/// Time from the start of an answer to the loss of an engine that can't write it.
const DEADLY_MS: u64 = 80;
/// Time in which an answer has had its first events.
const FIRST_EVENTS_MS: u64 = 60;
const DOWN_MS: u64 = 3_000;
/// Time until a notice has reached another instance, at the most.
const MAX_NOTICE_DELAY_MS: u64 = 1_500;
const CONTACT_MS: u64 = 3_000;
const KNOWN_AFTER_LOSSES: usize = 5;
const MAX_LATE_SENDS: usize = 3;
/// First part of all deadly prompts and of one sound prompt in `SAME_FIRST_PART`.
const FIRST_PART: PromptPartId = PromptPartId(7);
const SAME_FIRST_PART: u64 = 10;
const DEADLY_PARTS: [PromptPartId; 2] = [PromptPartId(8), PromptPartId(9)];
const OTHER_PARTS: u64 = 300;

#[derive(Clone, Copy)]
struct Plan {
    instances: usize,
    engines: usize,
    requests_per_s: u64,
    deadly_percent: u64,
    /// Engines that are lost by themselves in a second, of a thousand.
    crash_permille_per_s: u64,
}

struct Answer {
    number: u64,
    instance: usize,
    parts: Vec<PromptPartId>,
    began_ms: u64,
    has_survived: bool,
}

#[derive(Default)]
struct Engine {
    answers: Vec<Answer>,
    starts: u64,
    up_again_ms: u64,
}

#[derive(Default)]
struct Outcome {
    loss_times_ms: BTreeMap<PromptPartId, Vec<u64>>,
    send_times_ms: BTreeMap<PromptPartId, Vec<u64>>,
    same_first_part: [usize; 2],
    sound: [usize; 2],
}

struct Fleet {
    plan: Plan,
    random: u64,
    instances: Vec<Quarantine>,
    engines: Vec<Engine>,
    /// Due times, receivers and notices.
    notices: Vec<(u64, usize, LossNotice)>,
    outcome: Outcome,
}

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn deadly_part(parts: &[PromptPartId]) -> Option<PromptPartId> {
    parts.iter().copied().find(|part| DEADLY_PARTS.contains(part))
}

impl Fleet {
    fn play(plan: Plan, seed: u64) -> Outcome {
        let mut fleet = Self {
            plan,
            random: mixed(seed),
            instances: vec![Quarantine::default(); plan.instances],
            engines: (0..plan.engines).map(|_| Engine::default()).collect(),
            notices: Vec::new(),
            outcome: Outcome::default(),
        };
        for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
            fleet.step(now_ms);
        }
        fleet.outcome
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.random = mixed(self.random);
        (self.random >> 8) % below
    }

    fn step(&mut self, now_ms: u64) {
        let (due, pending) =
            std::mem::take(&mut self.notices).into_iter().partition(|(at_ms, ..)| *at_ms <= now_ms);
        self.notices = pending;
        for (_, receiver, notice) in due {
            self.instances[receiver].merge(Millis(now_ms), notice);
        }
        for instance in 0..self.instances.len() {
            let told = self.instances[instance].take_untold_survivals(Millis(now_ms));
            told.into_iter().for_each(|notice| self.tell(instance, now_ms, &notice));
        }
        for engine in 0..self.engines.len() {
            self.run_engine(engine, now_ms);
        }
        if self.draw(1_000) < self.plan.requests_per_s * STEP_MS {
            self.send(now_ms);
        }
    }

    fn run_engine(&mut self, number: usize, now_ms: u64) {
        let is_struck = self.draw(1_000_000 / STEP_MS) < self.plan.crash_permille_per_s;
        let engine = &mut self.engines[number];
        for answer in &mut engine.answers {
            let has_survived = now_ms >= answer.began_ms + FIRST_EVENTS_MS;
            if has_survived && !answer.has_survived && deadly_part(&answer.parts).is_none() {
                answer.has_survived = true;
                let quarantine = &mut self.instances[answer.instance];
                quarantine.record_survival(Millis(now_ms), &service(), &answer.parts);
            }
        }
        engine.answers.retain(|answer| now_ms < answer.began_ms + ANSWER_MS);
        let is_deadly = |answer: &&Answer| {
            now_ms >= answer.began_ms + DEADLY_MS && deadly_part(&answer.parts).is_some()
        };
        let culprit = engine.answers.iter().find(is_deadly);
        let culprit = culprit.and_then(|answer| deadly_part(&answer.parts));
        if let Some(part) = culprit {
            self.outcome.loss_times_ms.entry(part).or_default().push(now_ms);
        }
        if culprit.is_some() || is_struck {
            self.lose_engine(number, now_ms);
        }
    }

    fn lose_engine(&mut self, number: usize, now_ms: u64) {
        let engine = &mut self.engines[number];
        engine.starts += 1;
        engine.up_again_ms = now_ms + DOWN_MS;
        let server = format!("e{number}").parse().unwrap();
        let run = ServerRun { server, started_ms: WallMillis(engine.starts) };
        let lost = std::mem::take(&mut engine.answers);
        for answer in lost.into_iter().filter(|answer| !answer.has_survived) {
            let loss = Loss {
                service: service(),
                server: run.clone(),
                request: RequestFingerprint(u128::from(answer.number)),
                parts: answer.parts.into_iter().collect(),
                is_server_ended: true,
                is_late: false,
                lost_ms: Millis(now_ms),
            };
            let told = self.instances[answer.instance].record_loss(Millis(now_ms), loss);
            told.iter().for_each(|notice| self.tell(answer.instance, now_ms, notice));
        }
    }

    fn tell(&mut self, sender: usize, now_ms: u64, notice: &LossNotice) {
        for receiver in (0..self.instances.len()).filter(|other| *other != sender) {
            let due_ms = now_ms + self.draw(MAX_NOTICE_DELAY_MS);
            self.notices.push((due_ms, receiver, notice.clone()));
        }
    }

    fn send(&mut self, now_ms: u64) {
        let mut parts = vec![PromptPartId(1_000 + self.draw(OTHER_PARTS))];
        if self.draw(100) < self.plan.deadly_percent {
            parts = vec![FIRST_PART, DEADLY_PARTS[self.draw(2) as usize]];
        } else if self.draw(SAME_FIRST_PART) == 0 {
            parts = vec![FIRST_PART];
        }
        let instance = self.draw(self.plan.instances as u64) as usize;
        let random = self.draw(u64::MAX);
        let quarantine = &mut self.instances[instance];
        let service = service();
        let request = RequestFingerprint(u128::from(random));
        let traits = RequestTraits { service: &service, request, parts: &parts };
        let admission = quarantine.admit(Millis(now_ms), &traits, random);
        let is_sent = !matches!(admission, Admission::Quarantined { .. });
        if deadly_part(&parts).is_none() {
            self.outcome.sound[usize::from(is_sent)] += 1;
            self.outcome.same_first_part[usize::from(is_sent)] +=
                usize::from(parts.contains(&FIRST_PART));
        }
        let up: Vec<_> = (0..self.engines.len())
            .filter(|engine| now_ms >= self.engines[*engine].up_again_ms)
            .collect();
        if !is_sent || up.is_empty() {
            return;
        }
        if let Some(part) = deadly_part(&parts) {
            self.outcome.send_times_ms.entry(part).or_default().push(now_ms);
        }
        let engine = up[self.draw(up.len() as u64) as usize];
        let answer =
            Answer { number: random, instance, parts, began_ms: now_ms, has_survived: false };
        self.engines[engine].answers.push(answer);
    }
}

fn check(plan: Plan, seed: u64) {
    let outcome = Fleet::play(plan, seed);
    for part in DEADLY_PARTS {
        let losses = outcome.loss_times_ms.get(&part).cloned().unwrap_or_default();
        let Some(fifth_ms) = losses.get(KNOWN_AFTER_LOSSES - 1) else {
            continue;
        };
        let sends = outcome.send_times_ms[&part].iter();
        let late = sends.filter(|at_ms| **at_ms > fifth_ms + CONTACT_MS).count();
        assert!(late <= MAX_LATE_SENDS, "seed {seed}: {late} sent late, {} lost", losses.len());
    }
    let [refused, sent] = outcome.same_first_part;
    assert!(refused * 20 <= sent, "seed {seed}: {refused} sound prompts refused, {sent} sent");
    let [refused, sent] = outcome.sound;
    assert!(refused * 50 <= sent, "seed {seed}: {refused} sound prompts refused, {sent} sent");
}

#[test]
fn deadly_parts() {
    // Guards against engines that are lost on and on to a part, in fleets of different sizes and at
    // different shares of such prompts.
    for (seed, deadly_percent) in [2, 5, 15, 30].into_iter().enumerate() {
        for (instances, engines, requests_per_s) in [(8, 9, 10), (24, 40, 50)] {
            let crash_permille_per_s = 0;
            let plan =
                Plan { instances, engines, requests_per_s, deadly_percent, crash_permille_per_s };
            check(plan, seed as u64);
        }
    }
}

#[test]
fn crashing_engines() {
    // Guards against sound prompts that are refused where engines crash by themselves, with and
    // without deadly parts.
    for (seed, deadly_percent) in [0, 5].into_iter().enumerate() {
        let plan = Plan {
            instances: 16,
            engines: 30,
            requests_per_s: 50,
            deadly_percent,
            crash_permille_per_s: 50,
        };
        check(plan, seed as u64);
    }
}
