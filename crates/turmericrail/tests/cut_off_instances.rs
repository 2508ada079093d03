//! Instances that lose their links to servers, while callers, stores and the other instances still
//! reach them.

mod forward_support;
mod linked_fleet;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use linked_fleet::LinkedFleet;
use linked_fleet::steady_callers::{Attempt, SteadyCallers};
use turmericrail_fakes::LinkFault;

/// Time from the cut after which callers of cut-off instances must be served.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// Time for which callers are counted.
const COUNTED_TIME: Duration = Duration::from_millis(3_500);
/// Time from the heal after which instances must serve through their own links.
const HEAL_TIME: Duration = Duration::from_millis(2_000);
/// Time for which callers are observed without a fault, or after it.
const SOUND_TIME: Duration = Duration::from_millis(600);
/// Time within which a request is refused that no server can take.
const REFUSAL_TIME: Duration = Duration::from_millis(500);
/// Fewest bytes of a request to a server.
const REQUEST_BYTES: u64 = 150;
/// Number of instances.
const FLEET: usize = 5;
/// Instances that are cut off: two of three in the first data centre, one of two in the second.
const CUT_OFF: [usize; 3] = [0, 1, 3];

/// Share of attempts served, of those that are selected.
struct Served {
    sent: usize,
    served: usize,
}

impl Served {
    fn count<'a>(
        attempts: impl IntoIterator<Item = &'a Attempt>,
        is_selected: impl Fn(&Attempt) -> bool,
    ) -> Self {
        let selected: Vec<_> =
            attempts.into_iter().filter(|attempt| is_selected(attempt)).collect();
        let served = selected.iter().filter(|attempt| attempt.is_served()).count();
        Self { sent: selected.len(), served }
    }

    fn failed(&self) -> usize {
        self.sent - self.served
    }
}

/// Prints the statuses by route of the attempts that are selected.
fn print_statuses(what: &str, attempts: &[Attempt], is_selected: impl Fn(&Attempt) -> bool) {
    let mut counts: BTreeMap<_, usize> = BTreeMap::new();
    for attempt in attempts.iter().filter(|attempt| is_selected(attempt)) {
        let key = (attempt.route, attempt.status(), attempt.is_served());
        *counts.entry(key).or_default() += 1;
    }
    println!("{what}: (route, status, served): count {counts:?}");
}

/// Asserts what holds of every answer, whatever the fault.
fn assert_true_answers(fleet: &LinkedFleet, attempts: &[Attempt]) {
    for attempt in attempts {
        let Attempt { id, route, .. } = attempt;
        let executions = fleet.execution_count(id);
        assert!(!attempt.is_refused() || executions == 0, "executed and refused: {attempt:?}");
        if matches!(*route, "order" | "stream") {
            assert!(executions <= 1, "{route} {id} executed {executions} times");
        }
        let Some(reply) = &attempt.reply else {
            continue;
        };
        let is_broken = reply.status() == 200 && reply.is_complete && !attempt.is_served();
        assert!(!is_broken, "an answer isn't a server's: {attempt:?}");
    }
}

/// Asserts that callers of cut-off instances are served like the others on these routes, and returns
/// the number of their attempts.
fn assert_served_as_often(name: &str, attempts: &[&Attempt], routes: &[&str]) -> usize {
    let count = |is_cut_off: bool| {
        Served::count(attempts.iter().copied(), |attempt| {
            routes.contains(&attempt.route) && CUT_OFF.contains(&attempt.instance) == is_cut_off
        })
    };
    let (cut_off, others) = (count(true), count(false));
    let counts = format!(
        "{name}, {routes:?}: cut-off instances served {} of {}, the others {} of {}",
        cut_off.served, cut_off.sent, others.served, others.sent
    );
    println!("{counts}");
    assert!(others.served > 0, "{counts}");
    let is_as_often = 3 * cut_off.served * others.sent >= 2 * others.served * cut_off.sent;
    let failures_allowed = 10 + (cut_off.sent + others.sent) / 50;
    assert!(is_as_often || cut_off.failed() <= failures_allowed, "{counts}");
    cut_off.sent + others.sent
}

/// Cuts three instances off from all servers and compares their callers with those of the others.
fn check_cut_off(name: &str, fault: LinkFault) {
    let fleet = LinkedFleet::start(name, FLEET);
    let callers = SteadyCallers::start(&fleet.caller_addresses());
    thread::sleep(SOUND_TIME);
    let cut_at = Instant::now();
    fleet.cut_off(&CUT_OFF, fault);
    thread::sleep((CONTACT_TIME + COUNTED_TIME).saturating_sub(cut_at.elapsed()));
    let healed_at = Instant::now();
    fleet.heal(&CUT_OFF);
    thread::sleep(HEAL_TIME.saturating_sub(healed_at.elapsed()));
    let bytes = CUT_OFF.map(|instance| fleet.bytes_to_plain_servers(instance));
    thread::sleep(SOUND_TIME);
    let attempts = callers.stop();
    let final_bytes = CUT_OFF.map(|instance| fleet.bytes_to_plain_servers(instance));

    let is_cut_off = |attempt: &Attempt| CUT_OFF.contains(&attempt.instance);
    let is_counted =
        |attempt: &Attempt| (cut_at + CONTACT_TIME..healed_at).contains(&attempt.sent_at);
    print_statuses("cut off", &attempts, |attempt| is_counted(attempt) && is_cut_off(attempt));
    print_statuses("others", &attempts, |attempt| is_counted(attempt) && !is_cut_off(attempt));
    let is_after = |attempt: &Attempt| attempt.sent_at >= healed_at + HEAL_TIME;
    print_statuses("after", &attempts, is_after);

    assert_true_answers(&fleet, &attempts);
    let counted: Vec<_> = attempts.iter().filter(|attempt| is_counted(attempt)).collect();
    let plain_count = assert_served_as_often(name, &counted, &["read", "order"]);
    let model_count = assert_served_as_often(name, &counted, &["resumable", "stream"]);
    assert_eq!(plain_count + model_count, counted.len());
    let after = Served::count(&attempts, is_after);
    assert_eq!(after.failed(), 0, "of {} after the heal", after.sent);
    for ((instance, before), end) in CUT_OFF.into_iter().zip(bytes).zip(final_bytes) {
        let is_plain = |attempt: &Attempt| matches!(attempt.route, "read" | "order");
        let is_own = |attempt: &Attempt| attempt.instance == instance && is_plain(attempt);
        let own = Served::count(&attempts, |attempt| is_after(attempt) && is_own(attempt));
        let own_bytes = REQUEST_BYTES * own.served.saturating_sub(1) as u64;
        assert!(own.served > 1 && end - before >= own_bytes, "instance {instance} isn't direct");
    }
}

// Guards against callers of instances whose links hang being refused while others are served.
#[test]
fn hanging_links() {
    check_cut_off("hanging-links", LinkFault::Hang);
}

// Guards against callers of instances whose links were reset being refused while others are served.
#[test]
fn reset_links() {
    check_cut_off("reset-links", LinkFault::Reset);
}

// Guards against callers being refused while open connections live on and new ones are refused.
#[test]
fn refusing_links() {
    check_cut_off("refusing-links", LinkFault::RefuseNew);
}

// Guards against one lost server of several being taken for a lost service.
#[test]
fn one_lost_server() {
    let fleet = LinkedFleet::start("one-lost-server", 2);
    let callers = SteadyCallers::start(&fleet.caller_addresses());
    thread::sleep(SOUND_TIME);
    let cut_at = Instant::now();
    fleet.links[0][0].cut(LinkFault::Hang).unwrap();
    thread::sleep(CONTACT_TIME + COUNTED_TIME);
    let is_counted = |attempt: &Attempt| attempt.sent_at >= cut_at + CONTACT_TIME;
    let attempts = callers.stop();
    print_statuses("all", &attempts, |_| true);
    print_statuses("counted", &attempts, is_counted);
    assert_true_answers(&fleet, &attempts);
    assert_eq!(Served::count(&attempts, is_counted).failed(), 0);
}

// Guards against requests being held where no instance reaches a server.
#[test]
fn servers_down() {
    let fleet = LinkedFleet::start("servers-down", FLEET);
    let callers = SteadyCallers::start(&fleet.caller_addresses());
    thread::sleep(SOUND_TIME);
    let cut_at = Instant::now();
    fleet.cut_off(&[0, 1, 2, 3, 4], LinkFault::Down);
    thread::sleep(CONTACT_TIME + SOUND_TIME);
    let is_counted = |attempt: &Attempt| attempt.sent_at >= cut_at + SOUND_TIME;
    let attempts = callers.stop();
    print_statuses("counted", &attempts, is_counted);
    assert_true_answers(&fleet, &attempts);
    let counted: Vec<_> = attempts.iter().filter(|attempt| is_counted(attempt)).collect();
    let longest = counted.iter().map(|attempt| attempt.duration).max().unwrap();
    let slow = counted.iter().filter(|attempt| attempt.duration >= REFUSAL_TIME);
    let slow: Vec<_> =
        slow.map(|attempt| (attempt.route, attempt.sent_at - cut_at, attempt.duration)).collect();
    println!("longest: {longest:?}, slow (route, since the cut, duration): {slow:?}");
    for attempt in counted {
        assert!(attempt.is_refused(), "{attempt:?}");
        assert!(attempt.duration < REFUSAL_TIME, "{attempt:?}");
    }
}

// Guards against a sound server that falls silent for a moment being taken for a lost one.
#[test]
fn silent_server() {
    let fleet = LinkedFleet::start("silent-server", 2);
    let callers = SteadyCallers::start(&fleet.caller_addresses());
    thread::sleep(SOUND_TIME);
    fleet.links.iter().for_each(|links| links[0].cut(LinkFault::Silence).unwrap());
    thread::sleep(Duration::from_millis(1_200));
    fleet.links.iter().for_each(|links| links[0].heal().unwrap());
    thread::sleep(SOUND_TIME);
    let attempts = callers.stop();
    print_statuses("all", &attempts, |_| true);
    assert_true_answers(&fleet, &attempts);
    assert_eq!(Served::count(&attempts, |_| true).failed(), 0);
}
