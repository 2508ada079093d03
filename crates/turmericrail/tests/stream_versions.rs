//! Streams while engines of several software versions serve side by side: each one goes on only at
//! the version that began it, within one answer and when its caller takes it up at any instance.

mod forward_support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use forward_support::ForwardInstance;
use turmericrail_core::forward::StreamKey;
use turmericrail_fakes::registered::{self, Behaviour, FakeStore, RegisteredServer, Reply};
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{BegunStream, BegunStreams};

const VERSIONS: [&str; 3] = ["v1", "v1.1", "V1.1"];
const ENGINES_PER_VERSION: usize = 3;
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Events of a stream that its caller has when its connection breaks.
const EVENTS_BEFORE_BREAK: usize = 2;
/// Time in which the instances hear of engines, and of streams that others have begun.
const SETTLE_TIME: Duration = Duration::from_millis(400);

struct Fleet {
    instances: Vec<ForwardInstance>,
    engines: Vec<RegisteredServer>,
}

/// What a caller has read of a stream.
struct Begun {
    id: String,
    text: String,
    stream: TcpStream,
}

impl Fleet {
    /// Three instances in two data centres, and engines of several versions.
    fn start(name: &str, versions: &[&'static str]) -> Self {
        let mut instances = vec![ForwardInstance::start(name)];
        for (number, data_centre) in [(2, "dc-a"), (3, "dc-b")] {
            let (store, address) = (FakeStore::start().unwrap(), instances[0].store.address());
            let peer = format!("{name}-{number}");
            let instance = instances[0].start_peer_in(data_centre, &peer, number, store, address);
            instance.wait_for_log("event=members_changed ");
            instances.push(instance);
        }
        let mut engines = Vec::new();
        for version in versions {
            for _ in 0..ENGINES_PER_VERSION {
                let id = format!("d{}", engines.len());
                let engine = instances[0].start_engine(&id, "decode");
                engine.set_version(&instances[0].store, version, 2);
                engines.push(engine);
            }
        }
        std::thread::sleep(SETTLE_TIME);
        Self { instances, engines }
    }

    fn instance(&self, number: usize) -> &ForwardInstance {
        &self.instances[number % self.instances.len()]
    }

    fn call_count(&self) -> usize {
        self.engines.iter().map(|engine| engine.arrivals().len()).sum()
    }

    /// Begins a stream and reads its first events; the engine pauses after them.
    fn begin(&self, instance: usize, id: &str) -> Begun {
        let mut stream = self.instance(instance).connect();
        stream.write_all(request(id, id, "").as_bytes()).unwrap();
        let mut text = String::new();
        while text.matches("data: token").count() < EVENTS_BEFORE_BREAK {
            let mut bytes = [0; 4096];
            let read = stream.read(&mut bytes).unwrap();
            assert!(read > 0, "the stream began: {text}");
            text.push_str(&String::from_utf8_lossy(&bytes[..read]));
        }
        Begun { id: id.to_owned(), text, stream }
    }

    /// Takes a stream up at another instance.
    fn take_up(&self, instance: usize, begun: &Begun) -> Reply {
        let fields = format!("Last-Event-Id: {EVENTS_BEFORE_BREAK}\r\nResumes: {}\r\n", begun.id);
        let id = format!("{}-again", begun.id);
        self.instance(instance).send(&request(&begun.id, &id, &fields)).unwrap()
    }
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
fn cut_answers() {
    // Guards against an answer that goes on, after its engine is lost, at an engine of another
    // software version.
    let fleet = Fleet::start("cut-answers", &VERSIONS);
    let (mut joined, mut resumed) = (Vec::new(), 0);
    let streams = 24;
    for number in 0..streams {
        for engine in fleet.engines.iter().step_by(ENGINES_PER_VERSION) {
            engine.set_next_behaviours(&[Behaviour::CloseMidEvent]);
        }
        let id = format!("s{number}");
        let reply = fleet.instance(number).send(&request(&id, &id, "")).unwrap();
        resumed += usize::from(reply.is_complete);
        let seen = versions(&[&reply.body]);
        if seen.len() > 1 {
            joined.push(seen);
        }
    }
    assert_eq!(joined, Vec::<Vec<String>>::new());
    assert_eq!(resumed, streams);
    let log: String = fleet.instances.iter().map(ForwardInstance::read_log).collect();
    assert!(log.matches("event=answer_cut ").count() > 0, "engines were lost inside answers");
}

#[test]
fn taken_up() {
    // Guards against a stream that its caller takes up at another instance, and that goes on at
    // another software version.
    let fleet = Fleet::start("taken-up", &VERSIONS);
    let (mut joined, mut resumed) = (Vec::new(), 0);
    let streams = 12;
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Pause));
    for number in 0..streams {
        let begun = fleet.begin(number, &format!("s{number}"));
        begun.stream.shutdown(Shutdown::Both).unwrap();
        let reply = fleet.take_up(number + 1, &begun);
        resumed += usize::from(reply.status() == 200 && reply.is_complete);
        let seen = versions(&[&begun.text, &reply.body]);
        if seen.len() > 1 {
            joined.push(seen);
        }
    }
    assert_eq!(joined, Vec::<Vec<String>>::new());
    assert_eq!(resumed, streams);
}

#[test]
fn killed_instance() {
    // Guards against a version that is forgotten with the instance that began the stream.
    let mut fleet = Fleet::start("killed-instance", &VERSIONS);
    let streams = 8;
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Pause));
    let begun: Vec<_> = (0..streams).map(|number| fleet.begin(2, &format!("s{number}"))).collect();
    drop(fleet.instances.pop());
    let mut joined = Vec::new();
    let mut resumed = 0;
    for (number, begun) in begun.iter().enumerate() {
        let reply = fleet.take_up(number, begun);
        resumed += usize::from(reply.status() == 200 && reply.is_complete);
        let seen = versions(&[&begun.text, &reply.body]);
        if seen.len() > 1 {
            joined.push(seen);
        }
    }
    assert_eq!(joined, Vec::<Vec<String>>::new());
    assert_eq!(resumed, streams);
}

#[test]
fn unknown_streams() {
    // Guards against a version that is guessed: where none is known, no engine gets the call.
    let fleet = Fleet::start("unknown-streams", &VERSIONS);
    let begun = fleet.begin(0, "s0");
    let long_id = "x".repeat(300);
    let fields =
        ["", "Resumes: never-seen\r\n", "Resumes: \r\n", &format!("Resumes: {long_id}\r\n")];
    let calls = fleet.call_count();
    for (number, fields) in fields.iter().enumerate() {
        let fields = format!("Last-Event-Id: 2\r\n{fields}");
        let reply = fleet.instance(1).send(&request("other", &format!("again{number}"), &fields));
        assert_eq!(reply.unwrap().status(), 503);
    }
    assert_eq!(fleet.call_count(), calls);
    // The last engines of the version have left, or run another one under their ids.
    let version = versions(&[&begun.text]);
    let other = VERSIONS.iter().find(|other| **other != version[0]).unwrap();
    let index = VERSIONS.iter().position(|other| *other == version[0]).unwrap();
    for number in 0..ENGINES_PER_VERSION {
        let engine = &fleet.engines[index * ENGINES_PER_VERSION + number];
        engine.set_version(&fleet.instances[0].store, other, 3);
    }
    std::thread::sleep(SETTLE_TIME);
    let calls = fleet.call_count();
    assert_eq!(fleet.take_up(1, &begun).status(), 503);
    assert_eq!(fleet.call_count(), calls);
}

#[test]
fn single_version() {
    // Guards against streams that aren't taken up where all engines run one version, for which no
    // instance needs to know them.
    let fleet = Fleet::start("single-version", &["v1"]);
    fleet.engines.iter().for_each(|engine| engine.set_behaviour(Behaviour::Pause));
    let begun = fleet.begin(0, "s0");
    begun.stream.shutdown(Shutdown::Both).unwrap();
    let reply = fleet.take_up(1, &begun);
    assert!(reply.status() == 200 && reply.is_complete);
}

/// Tells an instance that a stream was sent to an engine of a version.
async fn tell(instance: &ForwardInstance, id: &str, version: &str, attempt: u32) {
    let address = format!("http://{}", instance.peer_address);
    let mut client = RelayClient::connect(address).await.unwrap();
    let stream = BegunStream {
        stream: StreamKey::of_attempt(id).0.to_le_bytes().to_vec(),
        request: vec![0; 16],
        version: version.to_owned(),
        attempt,
        age_ms: 0,
    };
    let message = BegunStreams { streams: vec![stream], ..Default::default() };
    client.notify_streams(message).await.unwrap();
}

#[async_std::test]
async fn missed_notice() {
    // Guards against a stream that goes on at the version of its first attempt, which an engine
    // refused, at an instance that was paused or cut off when the next attempt was told.
    let fleet = Fleet::start("missed-notice", &["v1", "v2"]);
    for (index, instance) in fleet.instances.iter().enumerate() {
        tell(instance, "s0", "v1", 1).await;
        if index > 0 {
            tell(instance, "s0", "v2", 2).await;
        }
        tell(instance, "s1", "v1", 1).await;
    }
    let take_up = |id: &str, again: &str| {
        let fields = format!("Last-Event-Id: 2\r\nResumes: {id}\r\n");
        fleet.instance(0).send(&request(id, again, &fields)).unwrap()
    };
    let reply = take_up("s0", "s0-again");
    assert_eq!((reply.status(), versions(&[&reply.body])), (200, vec!["v2".to_owned()]));
    let reply = take_up("s1", "s1-again");
    assert_eq!((reply.status(), versions(&[&reply.body])), (200, vec!["v1".to_owned()]));
    // None of the others says whether there was a later attempt.
    fleet.instances[1..].iter().for_each(|instance| instance.signal("STOP"));
    let calls = fleet.call_count();
    let reply = take_up("s1", "s1-third");
    assert_eq!((reply.status(), fleet.call_count()), (503, calls));
    fleet.instances[1..].iter().for_each(|instance| instance.signal("CONT"));
}
