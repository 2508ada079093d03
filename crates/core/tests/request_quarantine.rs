//! Requests that are quarantined for themselves, for the servers that ended while they ran there.

use turmericrail_core::forward::{
    Admission, BrokenCall, BrokenCalls, BrokenKind, Loss, LossNotice, Quarantine, RequestTraits,
    ServerRun,
};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};

const CRASHING: RequestFingerprint = RequestFingerprint(1);
const VICTIM: RequestFingerprint = RequestFingerprint(2);
const PART: PromptPartId = PromptPartId(7);

fn service() -> ServiceId {
    "desk".parse().unwrap()
}

fn run(number: u64) -> ServerRun {
    ServerRun { server: format!("s{number}").parse().unwrap(), started_ms: WallMillis(number) }
}

fn loss(server: u64, request: RequestFingerprint, lost_ms: Millis) -> Loss {
    Loss {
        service: service(),
        server: run(server),
        request,
        parts: Default::default(),
        is_server_ended: true,
        is_late: false,
        lost_ms,
    }
}

fn lose(quarantine: &mut Quarantine, server: u64, request: RequestFingerprint) {
    quarantine.record_loss(Millis(1_000), loss(server, request, Millis(1_000)));
}

fn is_quarantined(quarantine: &Quarantine, request: RequestFingerprint) -> bool {
    quarantine.is_quarantined(&RequestTraits { service: &service(), request, parts: &[] })
}

fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|server| lose(&mut quarantine, server, CRASHING));
    quarantine
}

#[test]
fn ended_servers() {
    let mut quarantine = Quarantine::default();
    let traits = RequestTraits { service: &service(), request: CRASHING, parts: &[] };
    for server in [1, 1, 2] {
        assert!(!quarantine.is_suspect(&traits));
        lose(&mut quarantine, server, CRASHING);
        assert!(!is_quarantined(&quarantine, CRASHING), "a run of a server counts once");
    }
    assert!(quarantine.is_suspect(&traits));
    lose(&mut quarantine, 3, CRASHING);
    assert!(is_quarantined(&quarantine, CRASHING));
    // The request is the same one at whatever service its route sends it to.
    let other = "other".parse().unwrap();
    assert!(quarantine.is_quarantined(&RequestTraits { service: &other, ..traits }));
    let admission = quarantine.admit(Millis(2_000), &traits, 0);
    let retry_after_ms = Millis(119_000);
    assert_eq!(admission, Admission::Quarantined { is_for_request: true, retry_after_ms });
}

#[test]
fn other_calls() {
    // Guards against sound requests that are blamed for servers which another one crashes.
    let mut quarantine = Quarantine::default();
    for server in 1..=4 {
        lose(&mut quarantine, server, CRASHING);
        if server > 1 {
            lose(&mut quarantine, server, VICTIM);
        }
    }
    assert!(is_quarantined(&quarantine, CRASHING));
    assert!(!is_quarantined(&quarantine, VICTIM));
}

#[test]
fn whole_answers() {
    // Guards against a request that is blamed although it was answered, here or elsewhere.
    let mut quarantine = quarantined();
    let told = quarantine.record_answer(Millis(1_100), &service(), CRASHING);
    assert!(told.is_some());
    assert!(!is_quarantined(&quarantine, CRASHING));
    let mut other = quarantined();
    assert!(other.merge(Millis(1_200), told.unwrap()));
    assert!(!is_quarantined(&other, CRASHING));
    assert!(quarantine.record_answer(Millis(1_100), &service(), VICTIM).is_none(), "no state");
}

#[test]
fn long_answers() {
    // Guards against long answers that are blamed for servers which end by themselves.
    let mut quarantine = Quarantine::default();
    for server in 1..=4 {
        assert!(!is_quarantined(&quarantine, CRASHING));
        let late = Loss { is_late: true, ..loss(server, CRASHING, Millis(1_000)) };
        quarantine.record_loss(Millis(1_000), late);
    }
    assert!(is_quarantined(&quarantine, CRASHING));
}

#[test]
fn one_request_alone() {
    // Guards against a sound prompt part that is blamed for a single request that crashes servers.
    let mut quarantine = Quarantine::default();
    for server in 1..=3 {
        let lost = Loss { parts: [PART].into(), ..loss(server, CRASHING, Millis(1_000)) };
        quarantine.record_loss(Millis(1_000), lost);
    }
    let parts = [PART];
    let traits = RequestTraits { service: &service(), request: VICTIM, parts: &parts };
    assert!(is_quarantined(&quarantine, CRASHING));
    assert!(!quarantine.is_quarantined(&traits));
}

#[test]
fn told_losses() {
    // Guards against an instance that starts without what is quarantined, and against exchanges
    // that grow with each request that was lost once.
    let mut quarantine = quarantined();
    (10..800).for_each(|number| {
        lose(&mut quarantine, number, RequestFingerprint(u128::from(number)));
    });
    let exchanged = quarantine.records().notices_after(0);
    assert_eq!(exchanged.len(), 3);
    let mut started = Quarantine::default();
    assert_eq!(started.merge_all(Millis(1_000), exchanged).len(), 3);
    assert!(is_quarantined(&started, CRASHING));
    assert_eq!(started.records().hash(), quarantine.records().hash());
    // A following instance is told each loss once.
    let last = quarantine.records().last_number();
    lose(&mut quarantine, 900, VICTIM);
    assert_eq!(quarantine.records().notices_after(last).len(), 1);
}

#[test]
fn bounded_memory() {
    // Guards against memory that grows with the requests lost in crashes, and against a quarantine
    // that is forgotten for them.
    let mut quarantine = quarantined();
    let notices = (10..3_000).map(|number| {
        LossNotice::Lost(loss(number, RequestFingerprint(u128::from(number)), Millis(2_000)))
    });
    quarantine.merge_all(Millis(2_000), notices.collect());
    assert!(quarantine.records().notices_after(1).len() <= 1_024);
    assert!(is_quarantined(&quarantine, CRASHING));
}

fn broken_call(kind: BrokenKind, at_ms: Millis) -> BrokenCall {
    BrokenCall { service: service(), request: CRASHING, kind, is_late: false, at_ms }
}

#[test]
fn signs_of_ends() {
    // Guards against broken connections that count as lost servers without a sign of their end.
    let address = ([127, 0, 0, 1], 1).into();
    let mut calls = BrokenCalls::default();
    let broken = broken_call(BrokenKind::Broken, Millis(1_000));
    assert_eq!(calls.record(&run(1), address, broken.clone()), None);
    assert_eq!(calls.plan_probe(Millis(1_000), &run(1), Millis::ZERO), Some(Millis::ZERO));
    calls.record_alive(&run(1));
    assert!(calls.record_end(Millis(1_010), &run(1)).is_empty(), "the server went on");
    // What breaks after the end was lost with it too.
    assert_eq!(calls.record(&run(1), address, broken.clone()), Some(broken.clone()));
    // Another run at the address shows the end of the one before.
    calls.record(&run(2), address, broken.clone());
    calls.record(&run(2), address, broken_call(BrokenKind::Abandoned, Millis(1_000)));
    let ended = calls.record_registration(Millis(4_000), &run(3), address);
    assert!(ended.contains(&(run(2), vec![broken.clone()])));
    // An answer from another server clears the request.
    calls.record(&run(4), address, broken);
    calls.record_answer(CRASHING);
    assert!(calls.record_end(Millis(1_010), &run(4)).is_empty());
}

#[test]
fn abandoned_calls() {
    // Guards against crashes that go unseen since the call had just been moved to another server.
    let address = ([127, 0, 0, 1], 1).into();
    let mut calls = BrokenCalls::default();
    let abandoned = broken_call(BrokenKind::Abandoned, Millis(1_000));
    calls.record(&run(1), address, abandoned.clone());
    assert_eq!(calls.plan_probe(Millis(1_000), &run(1), Millis(100)), Some(Millis(100)));
    assert_eq!(calls.plan_probe(Millis(1_050), &run(1), Millis(100)), None, "one at a time");
    assert!(calls.is_waiting(Millis(1_100), &run(1)));
    assert_eq!(calls.record_end(Millis(1_100), &run(1)), vec![abandoned.clone()]);
    calls.record(&run(2), address, abandoned);
    assert!(calls.record_end(Millis(3_000), &run(2)).is_empty(), "it ended long after");
}
