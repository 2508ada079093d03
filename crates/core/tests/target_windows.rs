//! Latency targets by time of day: time zones, windows over midnight, and the start of daylight
//! saving time.

use serde_json::{Value, json};
use turmericrail_core::config::document::CallerTargets;
use turmericrail_core::units::WallMillis;

const HOUR_MS: u64 = 3_600_000;
/// 2026-01-01 00:00 UTC.
const NEW_YEAR_MS: u64 = 1_767_225_600_000;
/// 2026-03-29 00:00 UTC, an hour before daylight saving time starts in Paris.
const DST_CHANGE_DAY_MS: u64 = 1_774_742_400_000;

fn window(from: &str, until: &str, first_token_ms: u64) -> Value {
    json!({"from": from, "until": until, "first_token_ms": first_token_ms, "per_token_ms": 40})
}

fn targets(time_zone: &str) -> CallerTargets {
    let windows = json!({
        "day": window("06:00", "22:00", 1_000),
        "night": window("22:00", "06:00", 9_000),
    });
    let document = json!({
        "time_zone": time_zone, "goodput_weight": 1.0, "wasted_prefill_weight": 1.0,
        "windows": windows,
    });
    serde_json::from_value(document).unwrap()
}

fn first_token_ms(time_zone: &str, wall_ms: u64) -> u64 {
    targets(time_zone).at(WallMillis(wall_ms)).unwrap().first_token_ms.0
}

#[test]
fn time_zones() {
    let noon_ms = NEW_YEAR_MS + 12 * HOUR_MS;
    assert_eq!(first_token_ms("Africa/Dakar", noon_ms), 1_000);
    assert_eq!(first_token_ms("Asia/Taipei", noon_ms + 3 * HOUR_MS), 9_000, "23:00 in Taipei");
    assert_eq!(first_token_ms("Africa/Dakar", noon_ms + 3 * HOUR_MS), 1_000);
}

#[test]
fn window_spans_midnight() {
    for (hour, expected_ms) in [(21, 1_000), (22, 9_000), (23, 9_000), (24, 9_000), (30, 1_000)] {
        let wall_ms = NEW_YEAR_MS + hour * HOUR_MS;
        assert_eq!(first_token_ms("Africa/Dakar", wall_ms), expected_ms, "hour {hour}");
        assert_eq!(
            first_token_ms("Africa/Dakar", wall_ms - 1),
            if hour == 22 {
                1_000
            } else if hour == 30 {
                9_000
            } else {
                expected_ms
            }
        );
    }
}

#[test]
fn daylight_saving_start() {
    let before_ms = DST_CHANGE_DAY_MS - 24 * HOUR_MS + 5 * HOUR_MS - 1;
    assert_eq!(first_token_ms("Europe/Paris", before_ms), 9_000, "05:59:59 before the change");
    assert_eq!(
        first_token_ms("Europe/Paris", DST_CHANGE_DAY_MS + 4 * HOUR_MS),
        1_000,
        "06:00 after it"
    );
}
