//! Prompts that are quarantined for a shared part to which engines were lost.

use turmericrail_core::forward::{
    Admission, Loss, LossNotice, Quarantine, RequestTraits, ServerRun, Survival, Suspect,
};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};

const SOUND: PromptPartId = PromptPartId(1);
const DEADLY: PromptPartId = PromptPartId(2);
const OTHER_DEADLY: PromptPartId = PromptPartId(3);
const RARE: PromptPartId = PromptPartId(4);
/// Longer than any answer clears its parts.
const LONG_MS: Millis = Millis(600_000);

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn loss(engine: u64, parts: &[PromptPartId], lost_ms: Millis) -> Loss {
    let server = format!("e{engine}").parse().unwrap();
    Loss {
        service: service(),
        server: ServerRun { server, started_ms: WallMillis(1) },
        request: RequestFingerprint(u128::from(engine)),
        parts: parts.iter().copied().collect(),
        is_server_ended: false,
        is_late: false,
        lost_ms,
    }
}

fn traits<'a>(service: &'a ServiceId, parts: &'a [PromptPartId]) -> RequestTraits<'a> {
    RequestTraits { service, request: RequestFingerprint(0), parts }
}

fn lose(quarantine: &mut Quarantine, engine: u64, parts: &[PromptPartId], lost_ms: Millis) {
    quarantine.record_loss(lost_ms, loss(engine, parts, lost_ms));
}

/// A quarantine of prompts with both parts, as of one second.
fn quarantined() -> Quarantine {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|engine| lose(&mut quarantine, engine, &[SOUND, DEADLY], Millis(1_000)));
    quarantine
}

fn is_quarantined(quarantine: &Quarantine, parts: &[PromptPartId]) -> bool {
    quarantine.is_quarantined(&traits(&service(), parts))
}

#[test]
fn lost_engines() {
    let mut quarantine = Quarantine::default();
    for engine in [1, 1, 1, 2] {
        assert!(!quarantine.is_suspect(&traits(&service(), &[SOUND, DEADLY])));
        lose(&mut quarantine, engine, &[SOUND, DEADLY], Millis(1_000));
        assert!(!is_quarantined(&quarantine, &[SOUND, DEADLY]), "an engine counts once");
    }
    assert!(quarantine.is_suspect(&traits(&service(), &[SOUND, DEADLY])));
    lose(&mut quarantine, 3, &[SOUND, DEADLY], Millis(1_000));
    assert!(is_quarantined(&quarantine, &[SOUND, DEADLY]));
    assert!(is_quarantined(&quarantine, &[RARE, SOUND, DEADLY]));
    assert!(!quarantine.is_quarantined(&traits(&"other".parse().unwrap(), &[SOUND, DEADLY])));
}

#[test]
fn sound_first_part() {
    // Guards against sound prompts that are refused for the first part that they share with
    // deadly ones, before any of them was answered.
    let mut quarantine = quarantined();
    assert!(!is_quarantined(&quarantine, &[SOUND]));
    assert!(!is_quarantined(&quarantine, &[SOUND, RARE]));
    (4..=6).for_each(|engine| lose(&mut quarantine, engine, &[SOUND, OTHER_DEADLY], Millis(2_000)));
    assert!(is_quarantined(&quarantine, &[SOUND, OTHER_DEADLY]));
    assert!(is_quarantined(&quarantine, &[SOUND, DEADLY]));
    assert!(!is_quarantined(&quarantine, &[SOUND]));
}

#[test]
fn common_part_alone() {
    // Guards against sound prompts that are refused since their only shared part is all that
    // prompts with different deadly parts have in common.
    let mut quarantine = Quarantine::default();
    lose(&mut quarantine, 1, &[SOUND, DEADLY], Millis(1_000));
    lose(&mut quarantine, 2, &[SOUND, OTHER_DEADLY], Millis(1_000));
    lose(&mut quarantine, 3, &[SOUND, RARE], Millis(1_000));
    assert!(is_quarantined(&quarantine, &[SOUND, DEADLY]));
    assert!(!is_quarantined(&quarantine, &[SOUND]));
    lose(&mut quarantine, 4, &[SOUND], Millis(1_000));
    assert!(is_quarantined(&quarantine, &[SOUND]));
}

#[test]
fn varied_prompts() {
    // What the lost prompts have in common is quarantined, not each of them.
    let mut quarantine = Quarantine::default();
    for engine in 1..=3 {
        let own = PromptPartId(100 + engine);
        lose(&mut quarantine, engine, &[own, DEADLY], Millis(1_000));
    }
    assert!(is_quarantined(&quarantine, &[RARE, DEADLY]));
    assert!(!is_quarantined(&quarantine, &[PromptPartId(101)]));
}

#[test]
fn answers_clear() {
    // Guards against a part that is blamed although answers to prompts with it went on.
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(Millis(500), &service(), &[SOUND]);
    (1..=9).for_each(|engine| lose(&mut quarantine, engine, &[SOUND], Millis(1_000)));
    assert_eq!(quarantine.records().last_number(), 0, "no other instance needs to know");
    // An answer that came later clears too.
    let mut quarantine = quarantined();
    assert!(quarantine.record_survival(Millis(1_200), &service(), &[SOUND, DEADLY]));
    assert!(!is_quarantined(&quarantine, &[SOUND, DEADLY]));
    // One from long ago doesn't.
    let mut quarantine = Quarantine::default();
    quarantine.record_survival(Millis(500), &service(), &[DEADLY]);
    (1..=3).for_each(|engine| lose(&mut quarantine, engine, &[DEADLY], LONG_MS));
    assert!(is_quarantined(&quarantine, &[DEADLY]));
}

#[test]
fn told_survivals() {
    // Guards against a sound part that instances quarantine which have seen no answer to it.
    let (mut first, mut second) = (quarantined(), Quarantine::default());
    second.record_survival(Millis(900), &service(), &[SOUND, DEADLY]);
    assert!(second.take_untold_survivals(Millis(1_000)).is_empty(), "nobody blames the parts");
    first.records().notices_after(0).into_iter().for_each(|notice| {
        assert!(second.merge(Millis(1_000), notice));
    });
    assert!(!is_quarantined(&second, &[SOUND, DEADLY]));
    let told = second.take_untold_survivals(Millis(1_000));
    assert_eq!(told.len(), 2);
    assert!(second.take_untold_survivals(Millis(1_100)).is_empty(), "told once");
    for notice in told {
        assert!(first.merge(Millis(1_100), notice));
    }
    assert!(!is_quarantined(&first, &[SOUND, DEADLY]));
    assert_eq!(first.records().hash(), second.records().hash());
}

#[test]
fn trials() {
    // Guards against prompts that are refused for good, and against trials by all instances at once.
    let admit = |quarantine: &mut Quarantine, now_ms, random| {
        quarantine.admit(now_ms, &traits(&service(), &[SOUND, DEADLY]), random)
    };
    let first_trial_ms = |random| {
        let mut quarantine = quarantined();
        match admit(&mut quarantine, Millis(1_000), random) {
            Admission::Quarantined { retry_after_ms, .. } => Millis(1_000) + retry_after_ms,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!(first_trial_ms(0), Millis(121_000));
    assert_eq!(first_trial_ms(30_000), Millis(151_000));
    let mut quarantine = quarantined();
    admit(&mut quarantine, Millis(1_000), 0);
    assert_eq!(admit(&mut quarantine, Millis(121_000), 0), Admission::Trial);
    let waits = |admission| matches!(admission, Admission::Quarantined { .. });
    assert!(waits(admit(&mut quarantine, Millis(121_001), 0)), "one at a time");
    // Each further loss doubles the wait, up to ten minutes.
    lose(&mut quarantine, 4, &[SOUND, DEADLY], Millis(122_000));
    assert!(waits(admit(&mut quarantine, Millis(361_999), 0)));
    assert_eq!(admit(&mut quarantine, Millis(362_000), 0), Admission::Trial);
    (5..=30).for_each(|engine| lose(&mut quarantine, engine, &[SOUND, DEADLY], Millis(363_000)));
    assert!(waits(admit(&mut quarantine, Millis(962_999), 0)));
    assert_eq!(admit(&mut quarantine, Millis(963_000), 0), Admission::Trial);
    // A trial that is answered ends the quarantine.
    quarantine.record_survival(Millis(964_000), &service(), &[SOUND, DEADLY]);
    assert_eq!(admit(&mut quarantine, Millis(964_000), 0), Admission::Admitted);
}

#[test]
fn numbered_notices() {
    let mut quarantine = quarantined();
    assert_eq!(quarantine.records().notices_after(0).len(), 3);
    let last = quarantine.records().last_number();
    assert!(quarantine.records().notices_after(last).is_empty());
    let known = LossNotice::Lost(loss(1, &[SOUND, DEADLY], Millis(900)));
    assert!(!quarantine.merge(Millis(1_000), known), "a known loss is not new");
    let unnamed =
        Survival { service: service(), suspect: Suspect::Part(RARE), survived_ms: Millis(1_000) };
    assert!(!quarantine.merge(Millis(1_000), LossNotice::Survived(unnamed)));
    assert_eq!(quarantine.records().last_number(), last);
    lose(&mut quarantine, 7, &[RARE], Millis(1_000));
    assert_eq!(quarantine.records().notices_after(last).len(), 1);
}

#[test]
fn bounded_memory() {
    // Guards against memory that grows with the engines lost, and against a quarantine that is
    // forgotten for losses of other prompts.
    let mut quarantine = quarantined();
    for number in 0..2_000 {
        lose(&mut quarantine, 10 + number, &[PromptPartId(1_000 + number)], Millis(2_000 + number));
        assert!(quarantine.records().notices_after(0).len() <= 48);
    }
    assert!(is_quarantined(&quarantine, &[SOUND, DEADLY]));
    quarantine.expire(Millis(1_000) + LONG_MS);
    assert!(is_quarantined(&quarantine, &[SOUND, DEADLY]));
    quarantine.expire(Millis(1_000) + LONG_MS + LONG_MS);
    assert!(!is_quarantined(&quarantine, &[SOUND, DEADLY]));
}
