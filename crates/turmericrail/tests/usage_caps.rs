//! Usage caps of tenants over several instances as processes.

mod forward_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, configuration, request_text, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::{FakeStore, RegisteredServer};

/// Tokens of each request, as its `X-Token-Usage` states.
const REQUEST_TOKENS: f64 = 150.0;
const RATE_PER_S: f64 = 3_000.0;
/// Length of the windows in which usage is bounded, and the part by which it may exceed the cap.
const WINDOW: Duration = Duration::from_secs(8);
const OVERAGE: f64 = 0.25;
const LOAD_TIME: Duration = Duration::from_secs(9);
/// The same where nothing is measured in windows.
const SHORT_LOAD_TIME: Duration = Duration::from_secs(3);
/// Time after which an instance that has just started keeps usage caps.
const START_TIME: Duration = Duration::from_millis(3_100);
const LONGEST_REFUSAL: Duration = Duration::from_millis(300);

struct Fleet {
    instances: Vec<ForwardInstance>,
    server: RegisteredServer,
}

struct Load<'a> {
    tenant: &'a str,
    requests_per_s: f64,
    time: Duration,
}

struct Sent {
    status: u16,
    retry_after_s: Option<f64>,
    took: Duration,
}

impl Fleet {
    /// Three instances in two data centres; a tenant with a cap and one without.
    fn start(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        let mut configuration = configuration(1);
        configuration["tenants"] = json!([
            {"name": "capped", "apiKeys": ["key-capped"], "unit": "token_count",
             "plainTokens": 200, "ratePerS": RATE_PER_S, "burst": RATE_PER_S},
            {"name": "free", "apiKeys": ["key-free"]},
        ]);
        store.publish(&configuration);
        let mut instances = vec![ForwardInstance::start_with_store(name, store)];
        for (number, data_centre) in [(2, "dc-a"), (3, "dc-b")] {
            let (store, address) = (FakeStore::start().unwrap(), instances[0].store.address());
            let peer = format!("{name}-{number}");
            let peer = instances[0].start_peer_in(data_centre, &peer, number, store, address);
            instances.push(peer);
        }
        for instance in &instances {
            instance.wait_for_log("event=members_changed count=3 ");
        }
        let server = RegisteredServer::start(&instances[0].store, "s1", None).unwrap();
        for instance in &instances {
            instance.wait_for_log("event=server_changed server=s1 ");
        }
        thread::sleep(START_TIME);
        Self { instances, server }
    }

    /// Sends requests of a tenant at a rate, spread over the instances that aren't `lost`.
    fn send_load(&self, load: &Load<'_>, lost: Option<usize>) -> Vec<Sent> {
        let Load { tenant, requests_per_s, time } = *load;
        let numbers: Vec<_> =
            (0..self.instances.len()).filter(|number| Some(*number) != lost).collect();
        let interval = Duration::from_secs_f64(numbers.len() as f64 / requests_per_s);
        let is_over = AtomicBool::new(false);
        let send = |number: usize| {
            let mut sent = Vec::new();
            let mut next_at = Instant::now();
            while !is_over.load(Ordering::Relaxed) {
                sent.push(send_request(&self.instances[number], tenant, sent.len()));
                next_at += interval;
                thread::sleep(next_at.saturating_duration_since(Instant::now()));
            }
            sent
        };
        thread::scope(|scope| {
            let send = &send;
            let callers: Vec<_> =
                numbers.iter().map(|number| scope.spawn(move || send(*number))).collect();
            thread::sleep(time);
            is_over.store(true, Ordering::Relaxed);
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }

    /// Number of the instance that keeps the cap.
    fn coordinator(&self) -> Option<usize> {
        self.instances.iter().position(|instance| {
            let page = instance.get_page(instance.operator_address, "/metrics");
            page.is_some_and(|page| {
                page.body.contains("turmericrail_usage_level{tenant=\"capped\"}")
            })
        })
    }

    /// Checks the usage of the server's calls in every window.
    fn assert_within_cap(&self) {
        let times = self.server.call_times();
        let bound = (RATE_PER_S * WINDOW.as_secs_f64() + RATE_PER_S) * (1.0 + OVERAGE);
        for (index, start) in times.iter().enumerate() {
            let count = times[index..].iter().take_while(|at| **at < *start + WINDOW).count();
            let usage = count as f64 * REQUEST_TOKENS;
            assert!(usage <= bound, "{usage} tokens in a window, {bound} allowed");
        }
    }
}

fn send_request(instance: &ForwardInstance, tenant: &str, number: usize) -> Sent {
    let id = format!("{tenant}{number}-{}", next_id());
    let text = request_text("order", &id);
    let key = format!("Authorization: Token key-{tenant}\r\nX-Request-Id");
    let sent_at = Instant::now();
    let reply = instance.send(&text.replacen("X-Request-Id", &key, 1)).expect("an answer comes");
    let retry_after = reply.head.headers.text("Retry-After");
    Sent {
        status: reply.status(),
        retry_after_s: retry_after.map(|text| text.parse().unwrap()),
        took: sent_at.elapsed(),
    }
}

/// A number that no other request of the test has.
fn next_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn count(sent: &[Sent], status: u16) -> usize {
    sent.iter().filter(|sent| sent.status == status).count()
}

#[test]
fn below_cap() {
    // Guards against refusals below the cap, also while its coordinator is killed or paused, and
    // against usage that is counted more than once.
    let mut fleet = Fleet::start("usage-below");
    let requests_per_s = 0.7 * RATE_PER_S / REQUEST_TOKENS;
    let load = Load { tenant: "capped", requests_per_s, time: SHORT_LOAD_TIME };
    let sent = fleet.send_load(&load, None);
    assert_eq!(count(&sent, 200), sent.len());
    assert_eq!(fleet.server.call_count(), sent.len());
    let coordinator = fleet.coordinator().expect("an instance keeps the cap");
    fleet.instances[coordinator].signal("STOP");
    let sent = fleet.send_load(&load, Some(coordinator));
    assert_eq!(count(&sent, 200), sent.len());
    fleet.instances[coordinator].signal("CONT");
    let sent = fleet.send_load(&load, None);
    assert_eq!(count(&sent, 200), sent.len());
    let coordinator = fleet.coordinator().expect("an instance keeps the cap");
    drop(fleet.instances.remove(coordinator));
    let sent = fleet.send_load(&load, None);
    assert_eq!(count(&sent, 200), sent.len());
}

#[test]
fn above_cap() {
    // Guards against use beyond the cap over all instances, refusals without a time, and refused
    // requests that a server sees.
    let fleet = Fleet::start("usage-above");
    let requests_per_s = 4.0 * RATE_PER_S / REQUEST_TOKENS;
    let load = Load { tenant: "capped", requests_per_s, time: LOAD_TIME };
    let sent = fleet.send_load(&load, None);
    let (granted, refused) = (count(&sent, 200), count(&sent, 429));
    assert_eq!(granted + refused, sent.len());
    assert_eq!(fleet.server.call_count(), granted);
    fleet.assert_within_cap();
    let usage = granted as f64 * REQUEST_TOKENS;
    assert!(usage > 0.9 * RATE_PER_S * LOAD_TIME.as_secs_f64(), "only {usage} tokens were granted");
    for sent in sent.iter().filter(|sent| sent.status == 429) {
        assert!(sent.retry_after_s.is_some_and(|seconds| seconds > 0.0));
        assert!(sent.took < LONGEST_REFUSAL, "refused after {:?}", sent.took);
    }
    let log: String = fleet.instances.iter().map(ForwardInstance::read_log).collect();
    assert!(log.contains("event=usage_refused tenant=capped "));
    assert!(!log.contains("key-capped"));
}

#[test]
fn lost_coordinator() {
    // Guards against a cap that is exceeded or forgotten when its coordinator is paused or killed
    // under more than the cap.
    let mut fleet = Fleet::start("usage-lost");
    let requests_per_s = 4.0 * RATE_PER_S / REQUEST_TOKENS;
    let load = Load { tenant: "capped", requests_per_s, time: LOAD_TIME };
    wait_for("a coordinator", || {
        send_request(&fleet.instances[0], "capped", 0);
        fleet.coordinator().is_some()
    });
    let coordinator = fleet.coordinator().unwrap();
    let sent = thread::scope(|scope| {
        let sending = scope.spawn(|| fleet.send_load(&load, Some(coordinator)));
        thread::sleep(LOAD_TIME / 3);
        fleet.instances[coordinator].signal("STOP");
        thread::sleep(LOAD_TIME / 3);
        fleet.instances[coordinator].signal("CONT");
        sending.join().unwrap()
    });
    assert!(count(&sent, 200) > 0);
    drop(fleet.instances.remove(coordinator));
    let sent = fleet.send_load(&load, None);
    assert!(count(&sent, 200) > 0 && count(&sent, 429) > 0);
    fleet.assert_within_cap();
}

#[test]
fn without_cap() {
    // Guards against tenants without a cap that are limited, or for which instances are asked.
    let fleet = Fleet::start("usage-none");
    let load = Load { tenant: "free", requests_per_s: 60.0, time: SHORT_LOAD_TIME };
    let sent = fleet.send_load(&load, None);
    assert_eq!(count(&sent, 200), sent.len());
    let log: String = fleet.instances.iter().map(ForwardInstance::read_log).collect();
    assert!(!log.contains("event=usage_"));
    assert_eq!(fleet.coordinator(), None);
}
