//! Application of merge patches to single entries of the typed configuration.
//!
//! Only the entries that a patch names are decoded and validated again, so the cost of a change
//! does not grow with the document. The result equals decoding the whole patched document. On any
//! error, and for patches whose effect goes beyond single entries, the caller falls back to the
//! whole document, whose decoder reports the path of the problem.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::config::check::{check_entries, check_references};
use crate::config::document::{CallerTargets, Configuration, Limits, Link, Model, Route, Server};
use crate::config::error::ConfigError;
use crate::ids::{CallerKind, ModelId, RouteId, ServerId};

/// Entries of one collection; `None` stands for a removed entry.
type Entries<K, V> = BTreeMap<K, Option<V>>;

/// Entries that replace those of a configuration.
#[derive(Debug, Default)]
pub(super) struct EntryChanges {
    pub(super) caller_kinds: Entries<CallerKind, CallerTargets>,
    pub(super) routes: Entries<RouteId, Route>,
    pub(super) models: Entries<ModelId, Model>,
    pub(super) servers: Entries<ServerId, Server>,
    pub(super) links: Entries<String, Link>,
    pub(super) limits: Option<Limits>,
}

/// Copies the entries that the patches name from the patched document into the configuration, if
/// all are valid.
///
/// The configuration must be that of the document before the patches; its version is not changed.
/// Returns whether the patches were applied; if not, the configuration is unchanged.
pub fn apply_by_entry<'a>(
    configuration: &mut Configuration,
    patches: impl IntoIterator<Item = &'a Value>,
    patched: &Value,
) -> bool {
    let Some(changes) = EntryChanges::decode(patches, patched) else {
        return false;
    };
    let before = changes.swap_into(configuration);
    if check_swapped(configuration, &before).is_ok() {
        return true;
    }
    before.swap_into(configuration);
    false
}

fn check_swapped(configuration: &Configuration, before: &EntryChanges) -> Result<(), ConfigError> {
    check_entries(configuration, before)?;
    if before.affects_references(configuration) {
        check_references(configuration)?;
    }
    Ok(())
}

impl EntryChanges {
    /// Decodes the entries that the patches name from the patched document.
    fn decode<'a>(patches: impl IntoIterator<Item = &'a Value>, patched: &Value) -> Option<Self> {
        let mut changes = Self::default();
        for patch in patches {
            for (section, entries) in patch.as_object()? {
                changes.decode_section(section, entries, patched.get(section))?;
            }
        }
        Some(changes)
    }

    fn decode_section(
        &mut self,
        section: &str,
        patch: &Value,
        patched: Option<&Value>,
    ) -> Option<()> {
        match section {
            "version" => Some(()),
            "caller_kinds" => decode_entries(&mut self.caller_kinds, patch, patched?),
            "routes" => decode_entries(&mut self.routes, patch, patched?),
            "models" => decode_entries(&mut self.models, patch, patched?),
            "servers" => decode_entries(&mut self.servers, patch, patched?),
            "links" => decode_entries(&mut self.links, patch, patched?),
            "limits" => {
                self.limits = Some(Limits::deserialize(patched?).ok()?);
                Some(())
            }
            _ => None,
        }
    }

    /// Swaps the entries into the configuration; returns the replaced ones.
    fn swap_into(self, configuration: &mut Configuration) -> Self {
        Self {
            caller_kinds: swap_entries(&mut configuration.caller_kinds, self.caller_kinds),
            routes: swap_entries(&mut configuration.routes, self.routes),
            models: swap_entries(&mut configuration.models, self.models),
            servers: swap_entries(&mut configuration.servers, self.servers),
            links: swap_entries(&mut configuration.links, self.links),
            limits: self.limits.map(|limits| std::mem::replace(&mut configuration.limits, limits)),
        }
    }

    /// Whether a replaced server changed so that routes, models or links that refer to it may be
    /// invalid now.
    fn affects_references(&self, configuration: &Configuration) -> bool {
        for (id, before) in &self.servers {
            let Some(before) = before else {
                continue;
            };
            let is_same = |server: &Server| {
                server.role == before.role && server.data_centre == before.data_centre
            };
            if !configuration.servers.get(id).is_some_and(is_same) {
                return true;
            }
        }
        false
    }
}

fn decode_entries<K, V>(entries: &mut Entries<K, V>, patch: &Value, patched: &Value) -> Option<()>
where
    K: FromStr + Ord,
    V: DeserializeOwned,
{
    let patched = patched.as_object()?;
    for key in patch.as_object()?.keys() {
        let entry = patched.get(key).map(V::deserialize).transpose().ok()?;
        entries.insert(key.parse().ok()?, entry);
    }
    Some(())
}

fn swap_entries<K, V>(current: &mut BTreeMap<K, V>, entries: Entries<K, V>) -> Entries<K, V>
where
    K: Clone + Ord,
{
    let mut before = BTreeMap::new();
    for (key, entry) in entries {
        let replaced = match entry {
            Some(entry) => current.insert(key.clone(), entry),
            None => current.remove(&key),
        };
        before.insert(key, replaced);
    }
    before
}
