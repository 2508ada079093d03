//! Calls that arrive, and what their answers are worth.

use super::{FIRST_EVENT_MS, Numbers, STEP_MS};

/// A kind of calls, as the card acceptance service gets them.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub rank: u8,
    pub calls_per_s: f64,
    pub target_ms: u64,
    pub value: f64,
    pub late_value: f64,
}

/// Time after its first arrival until which a caller waits.
pub const TIMEOUT_MS: u64 = 14_000;

pub const KINDS: [Kind; 3] = [
    Kind { rank: 0, calls_per_s: 21.8, target_ms: 800, value: 9.1, late_value: 0.76 },
    Kind { rank: 1, calls_per_s: 26.4, target_ms: 1_000, value: 4.8, late_value: 1.0 },
    Kind { rank: 2, calls_per_s: 24.4, target_ms: 2_000, value: 2.4, late_value: 0.75 },
];

/// Rate of calls over time and the engines that are lost.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Multiple of the usual rate of each kind in the burst.
    pub burst: [f64; 3],
    pub burst_from_ms: u64,
    pub burst_to_ms: u64,
    /// Last arrivals; the play goes on until all calls have ended.
    pub end_ms: u64,
    pub engines: usize,
    /// Engines lost in the middle of the burst.
    pub lost_engines: usize,
    pub instances: usize,
    /// Scale of all rates.
    pub scale: f64,
    /// Tenant whose rate alone is multiplied in the burst, and by how much.
    pub bursting_tenant: Option<f64>,
    pub seed: u64,
}

/// Tenants that send the calls of each kind in equal parts.
pub const TENANTS: u64 = 5;

#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub kind: usize,
    pub tenant: u64,
    pub instance: usize,
    /// First arrival; a retry keeps it.
    pub first_ms: u64,
    /// Arrival at the instance.
    pub arrived_ms: u64,
    pub is_retry: bool,
}

impl Call {
    pub fn kind(&self) -> &'static Kind {
        &KINDS[self.kind]
    }

    /// Last time at which it may be placed for a whole answer.
    pub fn last_start_ms(&self) -> u64 {
        self.first_ms + TIMEOUT_MS - super::ANSWER_MS
    }

    /// Whether its first event comes in time if it is placed now.
    pub fn is_in_time(&self, now_ms: u64) -> bool {
        !self.is_retry && now_ms + FIRST_EVENT_MS <= self.first_ms + self.kind().target_ms
    }

    /// Value of an answer that begins now; none if it can't end before the deadline.
    pub fn value(&self, now_ms: u64) -> f64 {
        if now_ms > self.last_start_ms() {
            return 0.0;
        }
        if self.is_in_time(now_ms) { self.kind().value } else { self.kind().late_value }
    }
}

/// What became of the calls of each kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub value: f64,
    pub calls: [u64; 3],
    pub in_time: [u64; 3],
    pub late: [u64; 3],
    /// Answers that were begun and couldn't end before the deadline.
    pub cut: [u64; 3],
    pub refusals: [u64; 3],
    pub refused_twice: [u64; 3],
    /// Calls of tenants that didn't burst, and those of them in time.
    pub quiet_tenants: (u64, u64),
    /// Reservation requests to engines.
    pub asks: u64,
}

impl Outcome {
    pub fn place(&mut self, call: &Call, now_ms: u64) {
        self.value += call.value(now_ms);
        let is_in_time = call.is_in_time(now_ms);
        if now_ms > call.last_start_ms() {
            self.cut[call.kind] += 1;
            return;
        }
        let counts = if is_in_time { &mut self.in_time } else { &mut self.late };
        counts[call.kind] += 1;
        if call.tenant != 0 && is_in_time {
            self.quiet_tenants.1 += 1;
        }
    }

    /// Share of the calls of a kind that got an answer.
    pub fn served(&self, kind: usize) -> f64 {
        (self.in_time[kind] + self.late[kind]) as f64 / self.calls[kind].max(1) as f64
    }
}

/// All calls of a play in the order of their arrival.
pub fn arrivals(load: &Load, outcome: &mut Outcome) -> Vec<Call> {
    let mut numbers = Numbers(load.seed);
    let mut calls = Vec::new();
    for now_ms in (0..load.end_ms).step_by(STEP_MS as usize) {
        let is_burst = (load.burst_from_ms..load.burst_to_ms).contains(&now_ms);
        for (kind, described) in KINDS.iter().enumerate() {
            for tenant in 0..TENANTS {
                let mut factor = if is_burst { load.burst[kind] } else { 1.0 };
                if tenant == 0 && is_burst {
                    factor *= load.bursting_tenant.unwrap_or(1.0);
                }
                let expected = described.calls_per_s * load.scale * factor * STEP_MS as f64
                    / 1_000.0
                    / TENANTS as f64;
                let count = expected.floor() as u64 + u64::from(numbers.part() < expected.fract());
                for _ in 0..count {
                    let instance = numbers.below(load.instances as u64) as usize;
                    outcome.calls[kind] += 1;
                    outcome.quiet_tenants.0 += u64::from(tenant != 0);
                    calls.push(Call {
                        kind,
                        tenant,
                        instance,
                        first_ms: now_ms,
                        arrived_ms: now_ms,
                        is_retry: false,
                    });
                }
            }
        }
    }
    calls
}
