//! Requests that crash each server which runs them: how many servers a group of instances sends
//! them to, and that sound requests beside them go on being served.

mod forward_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, wait_within};
use turmericrail_fakes::registered::{self, Behaviour, RegisteredServer, Reply};

/// Crashes after which every instance must know the request in time.
const KNOWN_AFTER_CRASHES: usize = 3;
/// Time after that within which every instance must know it.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Requests of a known kind that may still reach a server.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Time between two calls of a caller.
const CALL_INTERVAL: Duration = Duration::from_millis(150);
/// Answers are refused without a call to a server.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Time between two crashes of half of the servers.
const CRASH_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time from the start of a read to a crash just after it has moved to another server.
const DELAY_PAST_MOVE: Duration = Duration::from_millis(330);
const MOVED_READS: usize = 8;
const CRASH_WORD: &str = "crash-me";
const CALLER_TIMEOUT_MS: u64 = 2_000;
/// Shortest `Retry-After` of a request that crashes servers, in seconds.
const MIN_RETRY_AFTER_S: f64 = 5.0;

struct Fleet {
    name: &'static str,
    instances: Vec<ForwardInstance>,
    servers: Vec<RegisteredServer>,
    crash_times: std::sync::Mutex<Vec<Instant>>,
}

impl Fleet {
    fn start(name: &'static str, servers: usize, stage: Option<&'static str>) -> Self {
        let instances = forward_support::start_group(name, 3);
        let start = |number| {
            let id = format!("s{number}");
            RegisteredServer::start(&instances[0].store, &id, stage).unwrap()
        };
        let servers: Vec<_> = (0..servers).map(start).collect();
        let fleet = Self { name, instances, servers, crash_times: Default::default() };
        fleet.servers.iter().for_each(|server| server.set_crash_words(&[CRASH_WORD]));
        fleet.instances.iter().for_each(|instance| fleet.wait_for_servers(instance));
        fleet
    }

    fn wait_for_servers(&self, instance: &ForwardInstance) {
        for server in &self.servers {
            instance.wait_for_log(&format!("event=server_changed server={} ", server.current_id()));
        }
    }

    /// Starts crashed servers again, under new ids, until told to stop.
    fn restart_servers(&self, is_done: &AtomicBool) {
        let mut starts = 0;
        while !is_done.load(Ordering::SeqCst) {
            for server in self.servers.iter().filter(|server| server.has_crashed()) {
                self.crash_times.lock().unwrap().push(Instant::now());
                thread::sleep(DOWN_TIME);
                starts += 1;
                let id = format!("{}-{starts}", server.id);
                server.start_again(&self.instances[0].store, &id).unwrap();
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Runs calls while crashed servers are started again.
    fn run<T>(&self, calls: impl FnOnce() -> T) -> T {
        let is_done = AtomicBool::new(false);
        thread::scope(|scope| {
            scope.spawn(|| self.restart_servers(&is_done));
            let result = calls();
            is_done.store(true, Ordering::SeqCst);
            result
        })
    }

    fn instance(&self, number: usize) -> &ForwardInstance {
        &self.instances[number % self.instances.len()]
    }

    /// Arrival times of the requests whose ids begin so, in their order.
    fn arrivals(&self, prefix: &str) -> Vec<Instant> {
        let arrivals = self.servers.iter().flat_map(RegisteredServer::arrivals);
        let matching = arrivals.filter(|arrival| arrival.request_id.starts_with(prefix));
        let mut times: Vec<_> = matching.map(|arrival| arrival.at).collect();
        times.sort();
        times
    }

    /// Requests of which few may reach a server once three servers have crashed under them.
    fn assert_known_in_time(&self, prefix: &str) {
        let arrivals = self.arrivals(prefix);
        let third = arrivals.get(KNOWN_AFTER_CRASHES - 1).expect("three servers have crashed");
        let is_late = |at: &&Instant| **at > *third + CONTACT_TIME;
        let late = arrivals.iter().filter(is_late).count();
        assert!(late <= MAX_LATE_ARRIVALS, "{}: {late} of {} late", self.name, arrivals.len());
    }

    /// Requests whose ids begin so, and which an instance refused for servers that crashed.
    fn refused_requests(&self, prefix: &str) -> Vec<String> {
        let log: String = self.instances.iter().map(ForwardInstance::read_log).collect();
        let is_refused = |line: &&str| {
            line.contains(&format!("event=answer request={prefix}"))
                && line.contains("outcome=request_quarantined")
        };
        log.lines().filter(is_refused).map(str::to_owned).collect()
    }
}

fn send(instance: &ForwardInstance, route: &str, path: &str, id: &str) -> Option<Reply> {
    instance.send(&registered::request_text(route, path, id, CALLER_TIMEOUT_MS))
}

/// Sends a request that crashes servers again and again, with sound ones of the route in between.
/// Returns how many of the sound ones were served, how many were sent, and the longest time of a
/// refusal.
fn repeat_crashing_request(fleet: &Fleet, route: &str, time: Duration) -> (usize, usize, Duration) {
    let (start, mut number, mut served) = (Instant::now(), 0, 0);
    let mut slowest_refusal = Duration::ZERO;
    while start.elapsed() < time {
        number += 1;
        let sent_at = Instant::now();
        let reply = send(fleet.instance(number), route, CRASH_WORD, &format!("bad{number}"));
        let status = reply.as_ref().map(Reply::status);
        let retry_after =
            reply.and_then(|reply| reply.head.headers.text("Retry-After")?.parse::<f64>().ok());
        if status == Some(503) && retry_after.is_some_and(|seconds| seconds > MIN_RETRY_AFTER_S) {
            slowest_refusal = slowest_refusal.max(sent_at.elapsed());
        }
        let sound = send(
            fleet.instance(number + 1),
            route,
            &format!("sound{number}"),
            &format!("good{number}"),
        );
        served +=
            usize::from(sound.is_some_and(|reply| reply.status() == 200 && reply.is_complete));
        thread::sleep(CALL_INTERVAL);
    }
    (served, number, slowest_refusal)
}

/// Checks a request of a route that crashes each of a few servers, and that sound ones are served.
fn check_crashing_request(name: &'static str, route: &str, stage: Option<&'static str>) {
    let mut fleet = Fleet::start(name, 3, stage);
    let (served, sent, slowest_refusal) =
        fleet.run(|| repeat_crashing_request(&fleet, route, CONTACT_TIME * 3));
    fleet.assert_known_in_time("bad");
    assert!(slowest_refusal < REFUSAL_TIME, "{slowest_refusal:?}");
    assert!(served * 4 >= sent * 3, "{served} of {sent} sound requests served");
    assert_eq!(fleet.refused_requests("good"), Vec::<String>::new());
    // An instance that starts now refuses the request before it has seen a crash.
    forward_support::add_to_group(&mut fleet.instances, name);
    let latest = &fleet.instances[3];
    fleet.wait_for_servers(latest);
    wait_within(CONTACT_TIME, "the request to be known", || {
        latest.read_log().contains("event=quarantine change=began ")
    });
    let arrived = fleet.arrivals("bad").len();
    assert_eq!(send(latest, route, CRASH_WORD, "bad-late").unwrap().status(), 503);
    assert_eq!(fleet.arrivals("bad").len(), arrived);
}

#[test]
fn crashing_reads() {
    // Guards against plain servers that crash one after the other under a read that comes again.
    check_crashing_request("crashing-reads", "read", None);
}

#[test]
fn crashing_moved_reads() {
    // Guards against crashes that go unseen, since the read moved to another server just before.
    let fleet = Fleet::start("crashing-moved-reads", 3, None);
    fleet.servers.iter().for_each(|server| server.set_crash_delay(DELAY_PAST_MOVE));
    let send_again = || {
        send(fleet.instance(0), "read", CRASH_WORD, "bad");
        thread::sleep(DOWN_TIME / 2);
        let log = fleet.instance(0).read_log();
        let lost = log.lines().filter(|line| line.contains("event=loss ")).count();
        for number in 0..MOVED_READS {
            send(fleet.instance(number), "read", CRASH_WORD, &format!("bad{number}"));
            thread::sleep(DOWN_TIME * 2);
        }
        lost
    };
    let lost = fleet.run(send_again);
    assert_eq!(lost, 2, "the end of the server that the read moved away from is seen too");
    fleet.assert_known_in_time("bad");
    let arrivals = fleet.arrivals("bad").len();
    assert!(arrivals <= KNOWN_AFTER_CRASHES + 2, "{arrivals} arrived");
}

#[test]
fn crashing_orders() {
    // Guards against plain servers that crash one after the other under a call that may run only
    // once, and comes again from outside.
    check_crashing_request("crashing-orders", "order", None);
}

#[test]
fn crashing_streams() {
    // Guards against engines that crash one after the other, some events into an answer that comes
    // again or is resumed.
    check_crashing_request("crashing-streams", "resumable", Some("decode"));
}

#[test]
fn resets_and_crashes() {
    // Guards against sound requests that are refused because servers reset connections or crash by
    // themselves while callers repeat their calls at once.
    let fleet = Fleet::start("resets-and-crashes", 4, None);
    fleet.run(|| {
        let start = Instant::now();
        let (mut round, mut crashes) = (0, 0);
        while start.elapsed() < CONTACT_TIME * 2 {
            round += 1;
            for (index, server) in fleet.servers.iter().enumerate() {
                let is_reset = (round + index) % 5 < 3;
                let behaviour =
                    if is_reset { Behaviour::CloseWithoutAnswer } else { Behaviour::Answer };
                server.set_behaviour(behaviour);
            }
            if start.elapsed() > CRASH_INTERVAL * (crashes + 1) {
                crashes += 1;
                fleet.servers.iter().step_by(2).for_each(RegisteredServer::crash);
            }
            for attempt in 0..4 {
                let path = format!("sound{}", round % 3);
                send(
                    fleet.instance(round + attempt),
                    "read",
                    &path,
                    &format!("good{round}-{attempt}"),
                );
            }
        }
    });
    assert!(fleet.crash_times.lock().unwrap().len() >= 4);
    assert_eq!(fleet.refused_requests("good"), Vec::<String>::new());
}
