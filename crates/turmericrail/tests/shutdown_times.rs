//! Steps of a shutdown within grace periods of any length.

use quickcheck::quickcheck;
use turmericrail::forward::shutdown_times::ShutdownTimes;
use turmericrail_core::units::Millis;

#[test]
fn usual_steps() {
    let expected = ShutdownTimes {
        refusal_ms: Millis(2_800),
        close_ms: Millis(3_800),
        last_answers_ms: Millis(7_300),
        end_ms: Millis(7_600),
    };
    assert_eq!(ShutdownTimes::within(Millis(8_000)), expected);
    let times = ShutdownTimes::within(Millis(5_000));
    assert_eq!((times.refusal_ms, times.close_ms), (Millis(2_800), Millis(3_800)));
}

#[test]
fn short_grace() {
    // Guards against steps that go on after a short grace period.
    let times = ShutdownTimes::within(Millis(3_000));
    assert_eq!((times.close_ms, times.last_answers_ms), (Millis(1_800), Millis(2_300)));
    assert_eq!(times.end_ms, Millis(2_600));
    assert_eq!(ShutdownTimes::within(Millis(100)).end_ms, Millis(100));
}

#[test]
fn steps_in_order() {
    fn property(grace_ms: u64) -> bool {
        let times = ShutdownTimes::within(Millis(grace_ms % 100_000));
        let steps = [
            times.refusal_ms,
            times.close_ms,
            times.last_answers_ms,
            times.end_ms,
            Millis(grace_ms % 100_000),
        ];
        steps.is_sorted()
    }
    quickcheck(property as fn(u64) -> bool);
}
