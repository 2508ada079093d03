//! A fleet without a network, part of which reaches no server, and the requests that it hands over.

use std::collections::BTreeMap;

use turmericrail_core::forward::{DeclineReason, HandoverTargets, Member};
use turmericrail_core::ids::{DataCentreId, ServiceId};
use turmericrail_core::units::Millis;

/// Time between two requests at one instance.
const REQUEST_INTERVAL_MS: u64 = 300;
/// Duration of the cut.
const CUT_MS: u64 = 10_000;

/// What became of the requests at cut-off instances.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub requests: usize,
    pub unplaced: usize,
    /// Unplaced ones of the last seven seconds.
    pub unplaced_late: usize,
    pub requests_late: usize,
    pub offers: usize,
    /// Time of the last request that found no place.
    pub last_unplaced_ms: u64,
    /// Requests taken by each reaching instance.
    pub taken: BTreeMap<usize, usize>,
    /// Most entries that one instance held.
    pub most_entries: usize,
}

impl Outcome {
    /// Most requests at one of the reaching instances, relative to their mean.
    pub fn spread(&self) -> f64 {
        let most = self.taken.values().max().copied().unwrap_or_default();
        let mean = self.taken.values().sum::<usize>() as f64 / self.taken.len() as f64;
        most as f64 / mean
    }

    pub fn offers_per_request(&self) -> f64 {
        self.offers as f64 / self.requests as f64
    }
}

fn data_centre(number: usize) -> DataCentreId {
    format!("dc-{}", number % 3).parse().unwrap()
}

fn members_except(own: usize, count: usize) -> Vec<Member> {
    let others = (0..count).filter(|number| *number != own);
    let member = |number: usize| Member {
        instance: format!("front-{number}").parse().unwrap(),
        data_centre: data_centre(number),
        address: ([10, 0, (number >> 8) as u8, number as u8], 7_380).into(),
        age_ms: Millis::ZERO,
    };
    others.map(member).collect()
}

/// Runs a cut of the instances in `is_cut_off`.
pub fn run(seed: u64, is_cut_off: &[bool]) -> Outcome {
    let count = is_cut_off.len();
    let service: ServiceId = "desk".parse().unwrap();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut targets = vec![HandoverTargets::default(); count];
    let reaching = (0..count).filter(|number| !is_cut_off[*number]);
    let taken = reaching.map(|number| (number, 0)).collect();
    let mut outcome = Outcome { taken, ..Outcome::default() };
    let members: Vec<_> = (0..count).map(|own| members_except(own, count)).collect();
    for now_ms in (0..CUT_MS).step_by(10) {
        for own in (0..count).filter(|number| is_cut_off[*number]) {
            if random.u64(..REQUEST_INTERVAL_MS / 10) != 0 {
                continue;
            }
            let (now_ms, targets) = (Millis(now_ms), &mut targets[own]);
            targets.expire(now_ms);
            let candidates = targets.candidates(
                now_ms,
                members[own].clone(),
                &service,
                &data_centre(own),
                random.u64(..),
            );
            let is_late = now_ms.0 >= 3_000;
            outcome.requests += 1;
            outcome.requests_late += usize::from(is_late);
            let mut is_placed = false;
            for member in candidates {
                outcome.offers += 1;
                let number: usize = member.instance.as_str()["front-".len()..].parse().unwrap();
                if !is_cut_off[number] {
                    *outcome.taken.get_mut(&number).unwrap() += 1;
                    is_placed = true;
                    break;
                }
                let reason = DeclineReason::CutOff;
                targets.record_declined(now_ms, &member.instance, &service, reason);
            }
            if !is_placed {
                outcome.unplaced += 1;
                outcome.unplaced_late += usize::from(is_late);
                outcome.last_unplaced_ms = now_ms.0;
            }
            outcome.most_entries = outcome.most_entries.max(targets.entry_count());
        }
    }
    outcome
}
