//! The right to give orders to engines that don't check fencing numbers: one instance for each run
//! of an engine, and numbers that only rise.

use quickcheck::quickcheck;
use turmericrail_core::forward::{ServerRun, order_right};
use turmericrail_core::units::WallMillis;

const STARTED_MS: u64 = 1_790_000_000_000;

fn run_of(server: u64, started_ms: u64) -> ServerRun {
    ServerRun { server: format!("d{server}").parse().unwrap(), started_ms: WallMillis(started_ms) }
}

#[test]
fn spread_over_seeds() {
    let mut counts = [0; 3];
    for server in 0..300 {
        counts[order_right::orderer_position(&run_of(server, STARTED_MS), 3).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| *count > 60), "{counts:?}");
    assert_eq!(order_right::orderer_position(&run_of(1, STARTED_MS), 0), None);
}

#[test]
fn rising_numbers() {
    let instance = "dkr-a-1".parse().unwrap();
    let later_start = order_right::fencing_number(&run_of(1, STARTED_MS + 1), 0, &instance);
    let mut last = None;
    for accepted_orders in 0..16 {
        let number =
            order_right::fencing_number(&run_of(1, STARTED_MS), accepted_orders, &instance);
        assert!(number > last && number < later_start, "{number:?}");
        assert!(number.unwrap().0 < 1 << 53);
        last = number;
    }
    assert_eq!(order_right::fencing_number(&run_of(1, STARTED_MS), 16, &instance), None);
}

#[test]
fn late_starts() {
    // Guards against an engine that states a start in the far future, by which an instance would end
    // or an order would carry a number that is too low.
    let instance = "dkr-a-1".parse().unwrap();
    for started_ms in [1 << 41, 1 << 52, 1 << 60, u64::MAX] {
        let number = order_right::fencing_number(&run_of(1, started_ms), 0, &instance);
        assert!(number.is_none_or(|number| number.0 < 1 << 53), "{started_ms}: {number:?}");
    }
}

quickcheck! {
    fn one_orderer(server: u64, started_ms: u64, seed_count: u8) -> bool {
        // A paused, cut off or restarted instance gets the same answer as every other one.
        let run = run_of(server, started_ms);
        let seed_count = usize::from(seed_count);
        let position = order_right::orderer_position(&run, seed_count);
        position == order_right::orderer_position(&run.clone(), seed_count)
            && position.is_none_or(|position| position < seed_count)
    }
}
