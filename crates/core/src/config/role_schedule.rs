//! Roles of an engine by time of day.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::document::{Server, ServerRole};
use crate::config::error::ConfigError;
use crate::config::key_path::KeyPath;
use crate::config::window::{is_between, local_minute, parse_minute};
use crate::units::WallMillis;

/// Windows of the day with their own role.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoleSchedule {
    /// IANA name of the time zone of the windows.
    pub time_zone: String,
    /// Windows by name; the server's own role applies outside them.
    pub windows: BTreeMap<String, RoleWindow>,
}

/// A window of the day. It spans midnight if `until` is not after `from`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
#[expect(missing_docs, reason = "the names say it")]
pub struct RoleWindow {
    /// First minute, as `HH:MM`.
    pub from: String,
    /// First minute after the window, as `HH:MM`; `24:00` ends the day.
    pub until: String,
    pub role: ServerRole,
}

impl RoleSchedule {
    /// Role scheduled at a wall-clock time; `None` outside all windows.
    pub fn role_at(&self, wall_ms: WallMillis) -> Option<ServerRole> {
        let minute = local_minute(&self.time_zone, wall_ms)?;
        let mut windows = self.windows.values();
        let window = windows.find(|window| is_between(minute, &window.from, &window.until))?;
        Some(window.role)
    }
}

/// Validates the role schedule of a server.
pub(super) fn check_schedule(path: &KeyPath, server: &Server) -> Result<(), ConfigError> {
    let Some(schedule) = &server.role_schedule else {
        return Ok(());
    };
    let path = path.join("role_schedule");
    if !server.checks_fencing {
        let problem = "needs checks_fencing: true, since a late order could change the role back";
        return Err(ConfigError::at(path, problem));
    }
    super::check_targets::check_time_zone(&path, &schedule.time_zone)?;
    for (name, window) in &schedule.windows {
        let path = path.join("windows").join(name);
        for (field, time) in [("from", &window.from), ("until", &window.until)] {
            let parsed = parse_minute(time);
            parsed.map_err(|problem| ConfigError::at(path.join(field), problem))?;
        }
        let is_engine = |role| role != ServerRole::Plain;
        if !is_engine(window.role) || !is_engine(server.role) {
            let problem = "only prefill and decode engines change roles";
            return Err(ConfigError::at(path.join("role"), problem));
        }
    }
    Ok(())
}
