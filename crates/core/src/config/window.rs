//! Time windows of the day and the latency targets that apply in them.

use jiff::civil::Time;
use jiff::tz::TimeZone;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::config::document::CallerTargets;
use crate::serde_adapters::Quantity;
use crate::units::{Millis, WallMillis};

#[expect(missing_docs, reason = "the name says it")]
pub const MINUTES_PER_DAY: u32 = 24 * 60;

/// A window of the day. It spans midnight if `until` is not after `from`.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TargetWindow {
    /// First minute, as `HH:MM`.
    pub from: String,
    /// First minute after the window, as `HH:MM`; `24:00` ends the day.
    pub until: String,
    /// Limit on the time to the first token.
    #[serde_as(as = "Quantity")]
    pub first_token_ms: Millis,
    /// Limit on the mean time between tokens.
    #[serde_as(as = "Quantity")]
    pub per_token_ms: Millis,
}

/// Latency targets of one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LatencyTargets {
    /// Limit on the time to the first token.
    pub first_token_ms: Millis,
    /// Limit on the mean time between tokens.
    pub per_token_ms: Millis,
}

impl TargetWindow {
    /// Minutes of the day as half-open ranges; two where the window spans midnight.
    pub fn ranges(&self) -> Result<Vec<(u32, u32)>, String> {
        day_ranges(&self.from, &self.until)
    }
}

/// Minutes of the day between two `HH:MM` times as half-open ranges; two where they span midnight.
pub fn day_ranges(from: &str, until: &str) -> Result<Vec<(u32, u32)>, String> {
    let from = parse_minute(from)?;
    let until = parse_minute(until)?;
    if from < until {
        return Ok(vec![(from, until)]);
    }
    let parts = [(from, MINUTES_PER_DAY), (0, until)];
    Ok(parts.into_iter().filter(|(start, end)| start < end).collect())
}

/// Whether a minute of the day is between two `HH:MM` times.
pub fn is_between(minute: u32, from: &str, until: &str) -> bool {
    let ranges = day_ranges(from, until).unwrap_or_default();
    ranges.iter().any(|(from, until)| (*from..*until).contains(&minute))
}

/// Minute of the day in a time zone; `None` where the zone is unknown.
pub fn local_minute(time_zone: &str, wall_ms: WallMillis) -> Option<u32> {
    let zone = TimeZone::get(time_zone).ok()?;
    let timestamp = jiff::Timestamp::from_millisecond(wall_ms.0 as i64).ok()?;
    let local = timestamp.to_zoned(zone);
    Some(local.hour() as u32 * 60 + local.minute() as u32)
}

/// Minute of the day of an `HH:MM` time, from `00:00` to `24:00`.
pub fn parse_minute(text: &str) -> Result<u32, String> {
    if text == "24:00" {
        return Ok(MINUTES_PER_DAY);
    }
    let error = || format!("bad time of day {text:?}: expected HH:MM from 00:00 to 24:00");
    let time = Time::strptime("%H:%M", text).map_err(|_| error())?;
    Ok(time.hour() as u32 * 60 + time.minute() as u32)
}

impl CallerTargets {
    /// Targets at a wall-clock time; `None` where the time zone is unknown or no window applies.
    pub fn at(&self, wall_ms: WallMillis) -> Option<LatencyTargets> {
        let minute = local_minute(&self.time_zone, wall_ms)?;
        let mut windows = self.windows.values();
        let window = windows.find(|window| is_between(minute, &window.from, &window.until))?;
        Some(LatencyTargets {
            first_token_ms: window.first_token_ms,
            per_token_ms: window.per_token_ms,
        })
    }
}
