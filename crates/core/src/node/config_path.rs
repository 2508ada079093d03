//! Configuration: what the service and the peers tell, and what peers ask for.

use serde_json::Value;

use crate::action::Action;
use crate::config::{Change, ConfigError};
use crate::ids::{ConfigVersion, InstanceId};
use crate::membership::rendezvous;
use crate::message::{Envelope, PeerMessage};
use crate::node::Node;
use crate::units::Millis;

/// Key by which the readers of the configuration service are chosen.
const WATCH_KEY: &str = "configuration-watch";
/// Instances of a data centre that watch the configuration service.
const WATCHERS: usize = 2;
/// Time without an answer of the service after which an instance counts as cut off from it.
const CUT_OFF_AFTER_MS: Millis = Millis(4_000);
/// Time between two tries of an instance that is cut off.
const PROBE_EVERY_MS: Millis = Millis(8_000);
/// Part of that time in which a try may start.
const PROBE_WINDOW_MS: Millis = Millis(1_000);
/// Time before a missing version is asked for again.
const FETCH_AGAIN_MS: Millis = Millis(400);
/// Longest time for which a message waits for the version that it names.
const HOLD_MS: Millis = Millis(250);
/// Most messages that wait for a version.
const MAX_HELD: usize = 256;

/// A message that names a version not yet known here.
#[derive(Clone, Debug)]
pub(super) struct HeldMessage {
    envelope: Envelope,
    held_ms: Millis,
}

/// The newest fetch from a peer.
#[derive(Clone, Debug, Default)]
pub(super) struct Fetch {
    version: ConfigVersion,
    asked_ms: Option<Millis>,
}

impl Node {
    /// The version after which the configuration service is to be watched, where this instance is
    /// one of its watchers.
    pub fn config_watch(&self) -> Option<ConfigVersion> {
        let own = self.members.own_holder().instance;
        let mut readers = self.members.readers();
        if readers.is_empty() {
            let own_data_centre = self.members.own_data_centre();
            readers = self.members.members_of(own_data_centre).iter().collect();
        }
        let chosen = rendezvous::first(WATCH_KEY, readers, WATCHERS);
        let is_chosen = chosen.is_empty() || chosen.contains(&&own);
        let is_starting = self.config.in_force().is_none();
        let is_wanted = is_chosen || is_starting || self.is_probe_due();
        is_wanted.then(|| self.config.known_version())
    }

    /// Whether an instance that is cut off from the configuration service tries it again.
    fn is_probe_due(&self) -> bool {
        let digest = self.members.own_digest();
        let turn = (self.now.monotonic_ms.0 + digest.key().0) % PROBE_EVERY_MS.0;
        digest.is_cut_off && turn < PROBE_WINDOW_MS.0
    }

    /// The version in force, zero before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// The newest version where it failed its checks, else zero.
    pub fn rejected_version(&self) -> ConfigVersion {
        self.config.rejected().map_or(ConfigVersion(0), |(version, _)| *version)
    }

    /// Highest version whose document is known; the service is read after this one.
    pub fn known_version(&self) -> ConfigVersion {
        self.config.known_version()
    }

    pub(super) fn take_service_result(&mut self, is_answered: bool) {
        let now_ms = self.now.monotonic_ms;
        if is_answered {
            self.service_lost_ms = None;
            self.members.set_cut_off(false);
            return;
        }
        let lost_ms = *self.service_lost_ms.get_or_insert(now_ms);
        if now_ms - lost_ms >= CUT_OFF_AFTER_MS {
            self.members.set_cut_off(true);
        }
    }

    pub(super) fn take_document(&mut self, version: ConfigVersion, document: Value) {
        let result = self.config.take_document(version, document);
        self.log_config(version, result.map(|is_new| is_new.then_some("document")));
        self.deliver_held();
    }

    pub(super) fn take_changes(&mut self, changes: Vec<Change>, from: Option<&InstanceId>) {
        let before = self.config.known_version();
        let Some(newest) = changes.last().map(|change| change.version) else {
            return;
        };
        match self.config.take_changes(changes) {
            Ok(true) => {
                self.log(
                    "config_gap",
                    None,
                    vec![("known", before.to_string()), ("newest", newest.to_string())],
                );
                match from {
                    Some(peer) => self.send(peer, PeerMessage::ChangesRequest(ConfigVersion(0))),
                    None => self.actions.push(Action::FetchDocument),
                }
            }
            Ok(false) if newest > before => self.log_config(newest, Ok(Some("patch"))),
            Ok(false) => {}
            Err(error) => self.log_config(newest, Err(error)),
        }
        self.deliver_held();
    }

    pub(super) fn take_changes_request(&mut self, peer: &InstanceId, after: ConfigVersion) {
        if self.config.known_version() <= after {
            return;
        }
        let message = match self.config.changes_after(after) {
            Some(changes) => PeerMessage::Changes(changes),
            None => {
                PeerMessage::Document(self.config.known_version(), self.config.document().clone())
            }
        };
        self.send(peer, message);
    }

    /// Fetches a version that a peer named, once at a time.
    pub(super) fn fetch_newer(&mut self, peer: &InstanceId, version: ConfigVersion) {
        let now_ms = self.now.monotonic_ms;
        let known = self.config.known_version();
        let is_asked = self.fetch.version >= version
            && self.fetch.asked_ms.is_some_and(|asked_ms| now_ms - asked_ms < FETCH_AGAIN_MS);
        if version <= known || is_asked {
            return;
        }
        self.fetch = Fetch { version, asked_ms: Some(now_ms) };
        self.send(peer, PeerMessage::ChangesRequest(known));
    }

    /// Keeps a message until the version that it names is known.
    pub(super) fn hold(&mut self, envelope: Envelope) {
        let held_ms = self.now.monotonic_ms;
        if self.held_messages.len() < MAX_HELD {
            self.held_messages.push(HeldMessage { envelope, held_ms });
        }
    }

    /// Handles messages whose version is known by now and drops those that waited too long.
    pub(super) fn deliver_held(&mut self) {
        let (now_ms, known) = (self.now.monotonic_ms, self.config.known_version());
        for held in std::mem::take(&mut self.held_messages) {
            if held.envelope.config_version <= known {
                self.take_peer(held.envelope);
                continue;
            }
            if now_ms - held.held_ms < HOLD_MS {
                self.held_messages.push(held);
            }
        }
    }

    fn log_config(&mut self, version: ConfigVersion, result: Result<Option<&str>, ConfigError>) {
        let fields = match result {
            Ok(None) => return,
            Ok(Some(way)) => vec![("version", version.to_string()), ("way", way.to_owned())],
            Err(error) => {
                let in_force = self.config.version().to_string();
                vec![
                    ("version", version.to_string()),
                    ("rejected", error.to_string()),
                    ("in_force", in_force),
                ]
            }
        };
        self.log("config", None, fields);
    }
}
