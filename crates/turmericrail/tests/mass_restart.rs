//! All instances of a fleet are killed at one moment while engines of several software versions
//! serve: a stream that its caller takes up goes on only at the version that began it.

mod forward_support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, wait_for, wait_within};
use turmericrail_fakes::registered::{self, Behaviour, FakeStore, RegisteredServer, Reply};

const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const ENGINES_PER_VERSION: usize = 3;
const INSTANCES: u8 = 4;
const STREAMS: usize = 12;
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Events of a stream that its caller has when the instances are killed.
const EVENTS_BEFORE_KILL: usize = 2;
/// Age of a report until which it lists a run whose connection has closed.
const REPORT_AGE: Duration = Duration::from_millis(900);
const LARGE_FLEET: u8 = 30;
/// Time from a start of all instances until each serves.
const SERVING_LIMIT: Duration = Duration::from_secs(2);
/// Time until each knows all.
const MEMBERS_LIMIT: Duration = Duration::from_secs(15);
/// Time in which the instances hear of engines.
const SETTLE_TIME: Duration = Duration::from_millis(400);

struct Fleet {
    instances: Vec<ForwardInstance>,
    engines: Vec<RegisteredServer>,
}

/// What a caller has read of a stream.
struct Begun {
    id: String,
    text: String,
}

#[derive(Default)]
struct Outcome {
    resumed: usize,
    joined: Vec<Vec<String>>,
}

impl Fleet {
    fn start(name: &str, report_age: Duration) -> Self {
        let mut instances = vec![ForwardInstance::start(name)];
        for number in 2..=INSTANCES {
            let (store, address) = (FakeStore::start().unwrap(), instances[0].store.address());
            let (data_centre, peer) = (format!("dc-{}", number % 2), format!("{name}-{number}"));
            instances.push(instances[0].start_peer_in(&data_centre, &peer, number, store, address));
        }
        let mut engines = Vec::new();
        for version in VERSIONS {
            for _ in 0..ENGINES_PER_VERSION {
                let engine = instances[0].start_engine(&format!("d{}", engines.len()), "decode");
                engine.set_version(&instances[0].store, version, 2);
                engine.set_behaviour(Behaviour::Pause);
                engine.set_report_time(report_age);
                engines.push(engine);
            }
        }
        std::thread::sleep(SETTLE_TIME);
        Self { instances, engines }
    }

    fn begin_streams(&self) -> Vec<Begun> {
        let begin = |number: usize| {
            let id = format!("s{number}");
            let stream = self.instances[number % self.instances.len()].connect();
            read_first_events(stream, &id)
        };
        std::thread::scope(|scope| {
            let begin = &begin;
            let streams: Vec<_> =
                (0..STREAMS).map(|number| scope.spawn(move || begin(number))).collect();
            streams.into_iter().map(|stream| stream.join().unwrap()).collect()
        })
    }

    fn kill_all(&mut self) {
        self.instances.iter_mut().for_each(ForwardInstance::kill);
    }

    fn start_all(&mut self) {
        self.instances.iter_mut().for_each(ForwardInstance::start_again);
        self.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Answer));
        for instance in &self.instances {
            wait_for("readiness", || instance.is_ready());
            instance.wait_for_log("event=runs_searched ");
        }
    }

    /// Takes streams up at other instances than those that began them.
    fn take_up(&self, begun: &[Begun]) -> Outcome {
        let mut outcome = Outcome::default();
        for (number, begun) in begun.iter().enumerate() {
            let fields =
                format!("Last-Event-Id: {EVENTS_BEFORE_KILL}\r\nResumes: {}\r\n", begun.id);
            let instance = &self.instances[(number + 1) % self.instances.len()];
            let text = request(&begun.id, &format!("{}-again", begun.id), &fields);
            let reply: Reply = instance.send(&text).expect("an answer comes");
            outcome.resumed += usize::from(reply.status() == 200 && reply.is_complete);
            let seen = versions(&[&begun.text, &reply.body]);
            if seen.len() > 1 {
                outcome.joined.push(seen);
            }
        }
        outcome
    }
}

fn read_first_events(mut stream: TcpStream, id: &str) -> Begun {
    stream.write_all(request(id, id, "").as_bytes()).unwrap();
    let mut text = String::new();
    while text.matches("data: token").count() < EVENTS_BEFORE_KILL {
        let mut bytes = [0; 4096];
        let read = stream.read(&mut bytes).unwrap();
        assert!(read > 0, "the stream began: {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..read]));
    }
    Begun { id: id.to_owned(), text }
}

/// A stream of which callers know the engine's version by its events.
fn request(path: &str, id: &str, fields: &str) -> String {
    let text = registered::request_text("resumable", path, id, CALLER_TIMEOUT_MS);
    text.replace("X-Request-Id", &format!("{fields}X-Request-Id"))
}

/// The software versions whose events a caller has got.
fn versions(texts: &[&str]) -> Vec<String> {
    let lines = texts.iter().flat_map(|text| text.lines());
    let mut versions: Vec<_> =
        lines.filter_map(|line| line.strip_prefix("version: ")).map(str::to_owned).collect();
    versions.sort();
    versions.dedup();
    versions
}

#[test]
fn reported_runs() {
    // Guards against streams that are refused after such a kill although engines still list them.
    let mut fleet = Fleet::start("reported-runs", REPORT_AGE);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    fleet.start_all();
    let outcome = fleet.take_up(&begun);
    assert_eq!(outcome.joined, Vec::<Vec<String>>::new());
    let new = (0..STREAMS).filter(|number| {
        let id = format!("new{number}");
        let reply = fleet.instances[number % fleet.instances.len()].send(&request(&id, &id, ""));
        reply.is_some_and(|reply| reply.status() == 200 && reply.is_complete)
    });
    let begun_again = new.count();
    assert!(begun_again > 0);
    assert!(2 * outcome.resumed >= begun_again, "{} of {begun_again}", outcome.resumed);
}

#[test]
fn gone_versions() {
    // Guards against a stream that goes on at another version because the engines of its own have
    // just left, or run another version under their ids.
    let mut fleet = Fleet::start("gone-versions", REPORT_AGE);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    let store = &fleet.instances[0].store;
    for (number, engine) in fleet.engines.iter().enumerate() {
        match number / ENGINES_PER_VERSION {
            0 => engine.unregister(store),
            1 => {
                engine.set_report_time(Duration::ZERO);
                engine.set_version(store, "v4", 3);
            }
            _ => {}
        }
    }
    fleet.start_all();
    let outcome = fleet.take_up(&begun);
    assert_eq!(outcome.joined, Vec::<Vec<String>>::new());
    let at_third = begun.iter().filter(|begun| versions(&[&begun.text]) == ["v3"]).count();
    assert!(2 * outcome.resumed >= at_third, "{} of {at_third}", outcome.resumed);
}

#[test]
fn one_version_left() {
    // Guards against the version of the only engines that are left being taken for that of all
    // streams: those of the other versions have just left, and no instance knows it.
    let mut fleet = Fleet::start("one-version-left", Duration::ZERO);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    let store = &fleet.instances[0].store;
    fleet.engines.iter().skip(ENGINES_PER_VERSION).for_each(|engine| engine.unregister(store));
    fleet.start_all();
    let outcome = fleet.take_up(&begun);
    assert_eq!(outcome.joined, Vec::<Vec<String>>::new());
    assert_eq!(outcome.resumed, 0, "no one knows the version");
}

#[test]
fn replaced_after_report() {
    // Guards against a report that is taken for that of the engine that runs now under the same id.
    let mut fleet = Fleet::start("replaced-after", REPORT_AGE);
    let begun = fleet.begin_streams();
    fleet.kill_all();
    fleet.start_all();
    let store = &fleet.instances[0].store;
    fleet.engines.iter().for_each(|engine| engine.set_version(store, "v4", 3));
    for instance in &fleet.instances {
        let is_known = || {
            let line =
                |engine: &RegisteredServer| format!("event=server_changed server={} ", engine.id);
            let log = instance.read_log();
            fleet.engines.iter().all(|engine| log.matches(&line(engine)).count() >= 2)
        };
        wait_for("the new engines", is_known);
    }
    let outcome = fleet.take_up(&begun);
    assert_eq!(outcome.joined, Vec::<Vec<String>>::new());
    assert_eq!(outcome.resumed, 0, "no engine of their versions is left");
}

#[test]
fn one_version_each() {
    // Guards against an attempt that engines of two versions run before its first event: a run that
    // one of them reports would not tell at which version the stream began.
    let fleet = Fleet::start("one-version-each", REPORT_AGE);
    let requests = 12;
    for number in 0..requests {
        for engine in &fleet.engines {
            engine.set_next_behaviours(&[Behaviour::CloseBeforeEvents]);
        }
        let id = format!("s{number}");
        // Half of the engines lose the answer before its first event; it may fail.
        let _ = fleet.instances[0].send(&request(&id, &id, ""));
    }
    let mut moved = 0;
    for number in 0..requests {
        let id = format!("s{number}");
        let ran = |engine: &&RegisteredServer| {
            engine.arrivals().iter().any(|arrival| arrival.request_id == id)
        };
        let numbered = fleet.engines.iter().enumerate().filter(|(_, engine)| ran(engine));
        let versions: Vec<_> = numbered.map(|(index, _)| index / ENGINES_PER_VERSION).collect();
        moved += usize::from(versions.len() > 1);
        assert!(versions.windows(2).all(|pair| pair[0] == pair[1]), "{id}: {versions:?}");
    }
    assert!(moved > 0, "answers moved to other engines");
}

#[test]
fn many_instances() {
    // Guards against a start of many instances at one moment in which they keep each other from
    // serving, or don't learn of each other.
    let mut instances = vec![ForwardInstance::start("many-instances")];
    for number in 2..=LARGE_FLEET {
        let (store, address) = (FakeStore::start().unwrap(), instances[0].store.address());
        let (data_centre, peer) = (format!("dc-{}", number % 3), format!("many-{number}"));
        instances.push(instances[0].start_peer_in(&data_centre, &peer, number, store, address));
    }
    instances.iter_mut().for_each(ForwardInstance::kill);
    let started_at = Instant::now();
    instances.iter_mut().for_each(ForwardInstance::start_again);
    for instance in &instances {
        wait_for("readiness", || instance.is_ready());
    }
    let serving_after = started_at.elapsed();
    let all_known = format!("event=members_changed count={LARGE_FLEET} ");
    for instance in &instances {
        wait_within(MEMBERS_LIMIT, &all_known, || instance.read_log().contains(&all_known));
    }
    let known_after = started_at.elapsed();
    println!("serving_after={serving_after:?} known_after={known_after:?}");
    assert!(serving_after <= SERVING_LIMIT, "{serving_after:?}");
    assert!(known_after <= MEMBERS_LIMIT, "{known_after:?}");
}
