//! Validation of the targets of a caller kind: time zone, weights and windows.

use jiff::tz::TimeZone;

use crate::config::document::CallerTargets;
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;
use crate::config::window::{MINUTES_PER_DAY, TargetWindow};

pub(super) fn check_targets(path: &KeyPath, targets: &CallerTargets) -> Result<(), ConfigError> {
    check_time_zone(path, &targets.time_zone)?;
    check_weight(path.join("goodput_weight"), targets.goodput_weight)?;
    check_weight(path.join("wasted_prefill_weight"), targets.wasted_prefill_weight)?;
    let path = path.join("windows");
    for (name, window) in &targets.windows {
        check_window(&path.join(name), window)?;
    }
    check_coverage(&path, targets)
}

/// Validates the `time_zone` field below `path`.
pub(super) fn check_time_zone(path: &KeyPath, time_zone: &str) -> Result<(), ConfigError> {
    if TimeZone::get(time_zone).is_ok() {
        return Ok(());
    }
    let problem = format!("unknown time zone {time_zone:?}: use an IANA name such as Africa/Dakar");
    Err(ConfigError::at(path.join("time_zone"), problem))
}

fn check_weight(path: KeyPath, weight: f64) -> Result<(), ConfigError> {
    if weight.is_finite() && weight >= 0.0 {
        return Ok(());
    }
    Err(ConfigError::at(path, format!("bad weight {weight}: use a number of zero or more")))
}

fn check_window(path: &KeyPath, window: &TargetWindow) -> Result<(), ConfigError> {
    let limits = [("first_token_ms", window.first_token_ms), ("per_token_ms", window.per_token_ms)];
    for (field, limit) in limits {
        if limit.0 == 0 {
            return Err(ConfigError::at(path.join(field), "must be more than zero"));
        }
    }
    for (field, time) in [("from", &window.from), ("until", &window.until)] {
        let parsed = crate::config::window::parse_minute(time);
        parsed.map_err(|problem| ConfigError::at(path.join(field), problem))?;
    }
    Ok(())
}

fn check_coverage(path: &KeyPath, targets: &CallerTargets) -> Result<(), ConfigError> {
    let mut ranges = Vec::new();
    for (name, window) in &targets.windows {
        let parts = window.ranges().map_err(|problem| ConfigError::at(path.join(name), problem))?;
        ranges.extend(parts.into_iter().map(|(from, until)| (from, until, name)));
    }
    ranges.sort();
    let mut covered_until = 0;
    let mut previous: Option<&String> = None;
    for (from, until, name) in ranges {
        if from < covered_until {
            let other = previous.map_or("another", |other| other.as_str());
            let problem = format!(
                "overlaps window {other:?} from {} to {}: move its from or until",
                format_minute(from),
                format_minute(covered_until.min(until))
            );
            return Err(ConfigError::at(path.join(name), problem));
        }
        if from > covered_until {
            return Err(missing_window(path, covered_until, from));
        }
        covered_until = until;
        previous = Some(name);
    }
    if covered_until < MINUTES_PER_DAY {
        return Err(missing_window(path, covered_until, MINUTES_PER_DAY));
    }
    Ok(())
}

fn missing_window(path: &KeyPath, from: u32, until: u32) -> ConfigError {
    let problem = format!(
        "missing window from {} to {}: add one or lengthen its neighbours",
        format_minute(from),
        format_minute(until)
    );
    ConfigError::at(path.clone(), problem)
}

fn format_minute(minute: u32) -> String {
    format!("{:02}:{:02}", minute / 60, minute % 60)
}
