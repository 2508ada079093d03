//! Merge patches applied to the typed configuration by entry.
//!
//! Only the entries that a patch names are decoded and checked again, so that the time of a change
//! does not grow with the document. The result equals decoding the whole patched document. Every
//! error, and every patch whose effect goes beyond single entries, is left to the whole decode,
//! which names the path of the problem.

use std::collections::BTreeMap;
use std::str::FromStr;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::config::check::{check_entries, check_references};
use crate::config::document::{CallerTargets, Configuration, Limits, Link, Model, Route, Server};
use crate::config::error::ConfigError;
use crate::ids::{CallerKind, ModelId, RouteId, ServerId};

/// Entries of one collection; nothing stands for a removed one.
type Entries<K, V> = BTreeMap<K, Option<V>>;

/// Entries that take the place of those in a configuration.
#[derive(Debug, Default)]
pub(super) struct EntryChanges {
    pub(super) caller_kinds: Entries<CallerKind, CallerTargets>,
    pub(super) routes: Entries<RouteId, Route>,
    pub(super) models: Entries<ModelId, Model>,
    pub(super) servers: Entries<ServerId, Server>,
    pub(super) links: Entries<String, Link>,
    pub(super) limits: Option<Limits>,
}

/// Takes the entries that the patches name from the patched document, where all are sound.
///
/// The configuration must be that of the document before the patches; its version is left as it
/// is. Returns whether the patches were applied; if not, the configuration is unchanged.
pub fn apply_by_entry<'a>(
    configuration: &mut Configuration,
    patches: impl IntoIterator<Item = &'a Value>,
    patched: &Value,
) -> bool {
    let Some(changes) = EntryChanges::decode(patches, patched) else {
        return false;
    };
    let before = changes.exchange(configuration);
    if check_changed(configuration, &before).is_ok() {
        return true;
    }
    before.exchange(configuration);
    false
}

fn check_changed(configuration: &Configuration, before: &EntryChanges) -> Result<(), ConfigError> {
    check_entries(configuration, before)?;
    if before.affects_references(configuration) {
        check_references(configuration)?;
    }
    Ok(())
}

impl EntryChanges {
    /// Decodes the entries that the patches name, as they stand in the patched document.
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

    /// Puts the entries in place; returns those that stood there.
    fn exchange(self, configuration: &mut Configuration) -> Self {
        Self {
            caller_kinds: exchange_entries(&mut configuration.caller_kinds, self.caller_kinds),
            routes: exchange_entries(&mut configuration.routes, self.routes),
            models: exchange_entries(&mut configuration.models, self.models),
            servers: exchange_entries(&mut configuration.servers, self.servers),
            links: exchange_entries(&mut configuration.links, self.links),
            limits: self.limits.map(|limits| std::mem::replace(&mut configuration.limits, limits)),
        }
    }

    /// Whether entries that stood here before were such that routes, models or links that refer to
    /// them may be wrong now.
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

fn exchange_entries<K, V>(current: &mut BTreeMap<K, V>, entries: Entries<K, V>) -> Entries<K, V>
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
