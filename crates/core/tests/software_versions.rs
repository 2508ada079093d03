//! Engines of several software versions: which ones a call may use, and what is known of the version
//! that began a stream.

mod forward_support;

use forward_support::{forwarder, model_call_size, server_entry, server_number, server_update};
use turmericrail_core::config::ServerRole;
use turmericrail_core::forward::{
    EngineFilter, Forwarder, KvOrigin, PlanRefusal, SeenRun, SeenRuns, ServerRegistry, ServerRun,
    ServerUpdate, SoftwareVersion, StreamKey, StreamVersion, StreamVersions, VersionHistory,
    VersionNeed,
};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};

const WINDOW_MS: Millis = Millis(16_000);

fn version(text: &str) -> SoftwareVersion {
    text.parse().unwrap()
}

/// Engines with these roles and versions, numbered from 1.
fn engines(engines: &[(ServerRole, &str)]) -> Forwarder {
    let roles: Vec<_> = engines.iter().map(|(role, _)| (*role, "dc-a")).collect();
    let mut forwarder = forwarder(&roles);
    for (index, (role, version)) in engines.iter().enumerate() {
        let number = index as u16 + 1;
        let mut entry = server_entry(number, *role, "dc-a");
        entry.version = version.parse().ok();
        let update = server_update(number, u64::from(number) + 100, Some(entry));
        forwarder.apply_server_update(Millis(0), update);
    }
    forwarder
}

#[test]
fn planned_pairs() {
    // Guards against a KV cache that an engine of one version computes for one of another.
    let forwarder = engines(&[
        (ServerRole::Prefill, "v1"),
        (ServerRole::Prefill, "v2"),
        (ServerRole::Decode, "v1"),
        (ServerRole::Decode, "v2"),
        (ServerRole::Decode, "v3"),
    ]);
    let size = model_call_size(4_000);
    for random in 0..200u64 {
        let random = forward_support::mixed(random);
        let service = &forward_support::service_id();
        let plan = |version| {
            let time = (Millis(0), Millis(10_000));
            forwarder.plan_model(time.0, service, size, version, time.1, random)
        };
        let any = plan(VersionNeed::Any).unwrap();
        assert!(any.prefill.is_none_or(|prefill| prefill.version == any.decode.version));
        let needed = version("v3");
        let third = plan(VersionNeed::Same(Some(&needed))).unwrap();
        assert_eq!((third.prefill, server_number(&third.decode)), (None, 5));
        let gone = version("v4");
        assert_eq!(plan(VersionNeed::Same(Some(&gone))), Err(PlanRefusal::NoServer));
    }
}

#[test]
fn lone_engines() {
    // Guards against streams that begin where no other engine could go on with them.
    let forwarder = engines(&[
        (ServerRole::Decode, "v1"),
        (ServerRole::Decode, "v2"),
        (ServerRole::Decode, "v2"),
    ]);
    let service = &forward_support::service_id();
    let size = model_call_size(4_000);
    let choose = |filter: EngineFilter<'_>, random| {
        let origin = KvOrigin::DecodeEngine;
        let chosen = forwarder.choose_decode(Millis(0), service, size, origin, filter, random);
        chosen.map(|choice| server_number(&choice))
    };
    for random in 0..200u64 {
        let random = forward_support::mixed(random);
        assert_ne!(choose(EngineFilter::default(), random), Some(1));
        let needed = version("v1");
        let filter = EngineFilter { excluded: &[], version: VersionNeed::Same(Some(&needed)) };
        assert_eq!(choose(filter, random), Some(1));
    }
}

#[test]
fn only_version() {
    // Guards against a version that is taken for the only one too early, or for too long.
    let (first, second) = (version("v1"), version("v2"));
    let mut history = VersionHistory::new(Millis(1_000));
    history.record(Millis(16_000), Some(&first));
    assert_eq!(
        history.only_version(Millis(16_500), WINDOW_MS),
        None,
        "others may have left before"
    );
    assert_eq!(history.only_version(Millis(17_000), WINDOW_MS), Some(&first));
    history.record(Millis(20_000), Some(&second));
    history.record(Millis(30_000), Some(&first));
    assert_eq!(history.only_version(Millis(35_999), WINDOW_MS), None);
    assert_eq!(history.only_version(Millis(36_000), WINDOW_MS), Some(&first));
    // What another instance has seen counts too, and reaches as far back.
    let mut started = VersionHistory::new(Millis(35_000));
    started.record(Millis(36_000), Some(&first));
    assert_eq!(started.only_version(Millis(36_000), WINDOW_MS), None);
    started.merge(&history);
    assert_eq!(started.only_version(Millis(36_000), WINDOW_MS), Some(&first));
    started.record(Millis(36_000), None);
    assert_eq!(started.only_version(Millis(36_000), WINDOW_MS), None, "a version isn't stated");
}

fn stream(id: &str, text: &str, attempt: u32) -> StreamVersion {
    StreamVersion {
        stream: StreamKey::of_attempt(id),
        request: RequestFingerprint(1),
        version: version(text),
        attempt,
        sent_ms: Millis(1_000),
    }
}

#[test]
fn known_streams() {
    let mut streams = StreamVersions::default();
    streams.record(stream("a", "v2", 2));
    streams.record(stream("a", "v1", 1));
    assert_eq!(streams.get(StreamKey::of_attempt("a")), Some(&version("v2")), "the later engine");
    assert_eq!(streams.get(StreamKey::of_attempt("A")), None);
    assert_eq!(streams.of_request(RequestFingerprint(1)), Some(&version("v2")));
    // Attempts at two versions don't tell which one the caller has events of.
    streams.record(stream("b", "v1", 1));
    assert_eq!(streams.of_request(RequestFingerprint(1)), None);
    streams.expire(Millis(61_000));
    assert_eq!(streams.get(StreamKey::of_attempt("a")), None);
}

#[test]
fn bounded_streams() {
    // Guards against memory that grows with the streams begun.
    let mut streams = StreamVersions::default();
    (0..10_000).for_each(|number| streams.record(stream(&format!("s{number}"), "v1", 1)));
    assert!(streams.recent(Millis(2_000), WINDOW_MS).len() <= 8_192);
}

#[test]
fn seen_runs() {
    // Guards against a version that is concluded from the runs of an engine that was started anew,
    // or from reports that don't agree.
    let run = |text: &str, number: u16| SeenRun {
        stream: StreamKey::of_attempt("a"),
        engine: ServerRun {
            server: format!("s{number}").parse().unwrap(),
            started_ms: WallMillis(1),
        },
        version: version(text),
        seen_ms: Millis(1_000),
    };
    let registry = |started_ms: u64| {
        let mut registry = ServerRegistry::default();
        for (number, text) in [(1, "v1"), (2, "v2"), (3, "v1")] {
            let mut entry = server_entry(number, ServerRole::Decode, "dc-a");
            (entry.version, entry.started_ms) = (text.parse().ok(), WallMillis(started_ms));
            let server = format!("s{number}").parse().unwrap();
            let update = ServerUpdate { server, revision: 1, entry: Some(entry) };
            registry.apply(Millis(0), update);
        }
        registry
    };
    let find = |started_ms, runs: &[SeenRun]| {
        SeenRuns::version(Millis(0), &registry(started_ms), runs).cloned()
    };
    assert_eq!(find(1, &[run("v1", 1), run("v1", 3)]), Some(version("v1")));
    assert_eq!(find(1, &[]), None);
    assert_eq!(find(1, &[run("v1", 1), run("v2", 2)]), None);
    assert_eq!(find(1, &[run("v2", 1)]), None, "the engine runs another version now");
    assert_eq!(find(2, &[run("v1", 1)]), None, "the engine was started anew");
    assert_eq!(find(1, &[run("v1", 9)]), None, "the engine has left");
    let mut seen = SeenRuns::default();
    seen.record(run("v1", 1));
    assert!(seen.get(StreamKey::of_attempt("a")).is_some());
    seen.record(run("v2", 2));
    seen.record(run("v1", 1));
    assert!(seen.is_doubtful(StreamKey::of_attempt("a")), "an id that is used twice");
    assert!(seen.get(StreamKey::of_attempt("a")).is_none());
    seen.expire(Millis(61_000));
    assert!(!seen.is_doubtful(StreamKey::of_attempt("a")));
}

#[test]
fn unseen_versions() {
    // Guards against a version that is taken for the only one although another may have come and
    // gone while the store could not be read, or the process was paused.
    let service = forward_support::service_id();
    let settled = |gap: fn(&mut Forwarder)| {
        let mut forwarder = engines(&[(ServerRole::Decode, "v1"), (ServerRole::Decode, "v1")]);
        (0..=20).for_each(|second| {
            forwarder.record_versions(Millis(second * 1_000));
        });
        gap(&mut forwarder);
        forwarder.record_versions(Millis(30_000));
        forwarder.only_version(Millis(30_000), &service).cloned()
    };
    let go_on = |forwarder: &mut Forwarder| {
        (21..30).for_each(|second| {
            forwarder.record_versions(Millis(second * 1_000));
        });
    };
    assert_eq!(settled(go_on), Some(version("v1")));
    assert_eq!(settled(|_| {}), None, "a pause of ten seconds");
    let regained = |forwarder: &mut Forwarder| {
        (21..30).for_each(|second| {
            forwarder.record_versions(Millis(second * 1_000));
        });
        forwarder.record_registry_reconnection(Millis(29_000));
    };
    assert_eq!(settled(regained), None, "the store was lost until a second ago");
}

#[test]
fn first_look_after_pause() {
    // Guards against a version that is taken for the only one by a process that has just gone on
    // after a pause, before it has looked at the registry again.
    let service = forward_support::service_id();
    for (pause_ms, expected) in [(1_500, Some(version("v1"))), (3_000, None), (60_000, None)] {
        let mut forwarder = engines(&[(ServerRole::Decode, "v1"), (ServerRole::Decode, "v1")]);
        (0..=20).for_each(|second| {
            forwarder.record_versions(Millis(second * 1_000));
        });
        let now_ms = Millis(20_000 + pause_ms);
        let window_ms = forwarder.version_window_ms();
        let history = forwarder.version_history(now_ms, &service);
        assert_eq!(forwarder.only_version(now_ms, &service).cloned(), expected, "{pause_ms}");
        assert_eq!(history.only_version(now_ms, window_ms).cloned(), expected, "{pause_ms}");
        forwarder.record_versions(now_ms);
        assert_eq!(forwarder.only_version(now_ms, &service).cloned(), expected, "{pause_ms}");
    }
}
