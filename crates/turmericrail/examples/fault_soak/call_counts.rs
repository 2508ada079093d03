//! Checks how many calls servers got: repeated ones against the bound on retries, and those of a
//! server that names a limit.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use turmericrail_fakes::registered::Arrival;

use crate::callers::RequestRecord;

/// Bound on retries in the settings of the instances.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 56.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Time for which the calls of a limited server are counted together.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Times of the requests to a service and of the calls beyond the first of each.
struct ServiceCalls {
    requests: Vec<Instant>,
    repeated: Vec<Instant>,
}

impl ServiceCalls {
    /// Requests without a record of their caller, such as probes, count from their first call on.
    fn new(arrivals: Vec<Arrival>, records: &[&RequestRecord]) -> Self {
        let mut sent: BTreeMap<&str, Instant> =
            records.iter().map(|record| (record.id.as_str(), record.sent)).collect();
        let mut by_request: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
        for arrival in &arrivals {
            by_request.entry(&arrival.request_id).or_default().push(arrival);
        }
        let mut repeated = Vec::new();
        for (id, arrived) in &mut by_request {
            arrived.sort_by_key(|arrival| arrival.at);
            sent.entry(id).or_insert(arrived[0].at);
            let free_prefill = arrived.iter().position(|arrival| arrival.is_done_prefill);
            let counted = arrived.iter().enumerate().filter(|(at, _)| Some(*at) != free_prefill);
            repeated.extend(counted.skip(1).map(|(_, arrival)| arrival.at));
        }
        repeated.sort();
        let mut requests: Vec<_> = sent.into_values().collect();
        requests.sort();
        Self { requests, repeated }
    }

    /// Requests in the window, the one before it or the one half a window before it, whichever has
    /// most.
    fn requests_around(&self, start: Instant) -> usize {
        let starts =
            [Some(start), start.checked_sub(RETRY_WINDOW), start.checked_sub(RETRY_WINDOW / 2)];
        let count = |start: Instant| count_from(&self.requests, start, RETRY_WINDOW);
        starts.into_iter().flatten().map(count).max().unwrap_or_default()
    }
}

fn count_from(times: &[Instant], start: Instant, window: Duration) -> usize {
    times.partition_point(|at| *at < start + window) - times.partition_point(|at| *at < start)
}

/// Returns the violation of the bound on retries that the calls of a service show, if any.
pub fn check_repeated(
    service: &str,
    arrivals: Vec<Arrival>,
    records: &[&RequestRecord],
) -> Option<String> {
    let calls = ServiceCalls::new(arrivals, records);
    for start in &calls.repeated {
        let requests = calls.requests_around(*start);
        let repeated = count_from(&calls.repeated, *start, RETRY_WINDOW);
        let allowed = RETRY_RATIO * requests as f64 + RETRY_SLACK;
        if repeated as f64 > allowed {
            return Some(format!(
                "repeated_calls service={service} calls={repeated} requests={requests} allowed={allowed}"
            ));
        }
    }
    None
}

/// Returns the violation of a limit that a server has named by `start`, if any.
pub fn check_limited(
    server: &str,
    limit_per_s: f64,
    mut call_times: Vec<Instant>,
    start: Instant,
) -> Option<String> {
    call_times.retain(|at| *at >= start);
    call_times.sort();
    let allowed = 1.5 * limit_per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
    let counts = call_times.iter().map(|at| count_from(&call_times, *at, LIMIT_WINDOW));
    let most = counts.max().unwrap_or_default();
    (most as f64 > allowed)
        .then(|| format!("beyond_limit server={server} calls={most} allowed={allowed}"))
}
