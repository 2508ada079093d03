//! Updates of the configuration from the configuration service and from peers, and replies to peers
//! that ask for updates.
//!
//! Two instances of each data centre watch the service; the others learn new versions from the
//! messages of their peers. A message that names a version unknown here may be deferred until that
//! version has been fetched.

use serde_json::Value;

use crate::action::Action;
use crate::config::{Change, ConfigError};
use crate::ids::{ConfigVersion, InstanceId};
use crate::membership::rendezvous;
use crate::message::{Envelope, PeerMessage};
use crate::node::Node;
use crate::units::Millis;

/// Rendezvous-hash key that selects the instances that watch the configuration service.
const CONFIG_WATCH_KEY: &str = "configuration-watch";
const WATCHERS_PER_DATA_CENTRE: usize = 2;
/// Time without an answer from the service after which an instance counts as cut off from it.
const CUT_OFF_AFTER_MS: Millis = Millis(4_000);
/// Time between two probes of the service by an instance that is cut off from it.
const PROBE_INTERVAL_MS: Millis = Millis(8_000);
/// Part of each probe interval, from its start, in which a probe may be started.
const PROBE_WINDOW_MS: Millis = Millis(1_000);
/// Time after which a fetch from a peer that brought no answer is repeated.
const FETCH_RETRY_MS: Millis = Millis(400);
/// Time after which a message whose version is still unknown is dropped.
const MAX_DEFERRAL_MS: Millis = Millis(250);
const MAX_DEFERRED_MESSAGES: usize = 256;

/// A peer message that names a configuration version not yet known here.
#[derive(Clone, Debug)]
pub(super) struct DeferredMessage {
    envelope: Envelope,
    deferred_since_ms: Millis,
}

/// The newest version requested from a peer, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct ConfigFetch {
    version: ConfigVersion,
    requested_ms: Option<Millis>,
}

impl Node {
    /// Version after which to watch the configuration service, or `None` if this instance should
    /// not watch it.
    pub fn watch_config_after(&self) -> Option<ConfigVersion> {
        let own = self.members.own_holder().instance;
        let mut readers = self.members.config_readers();
        if readers.is_empty() {
            let own_data_centre = self.members.own_data_centre();
            readers = self.members.members_of(own_data_centre).iter().collect();
        }
        let chosen = rendezvous::top_members(CONFIG_WATCH_KEY, readers, WATCHERS_PER_DATA_CENTRE);
        let is_chosen = chosen.is_empty() || chosen.contains(&&own);
        let is_starting = self.config.in_force().is_none();
        let is_wanted = is_chosen || is_starting || self.is_config_probe_due();
        is_wanted.then(|| self.config.known_version())
    }

    /// Whether an instance that is cut off from the configuration service should try it again.
    /// Probes are staggered by member key.
    fn is_config_probe_due(&self) -> bool {
        let digest = self.members.own_digest();
        let phase_ms = (self.now.monotonic_ms.0 + digest.key().0) % PROBE_INTERVAL_MS.0;
        digest.is_cut_off && phase_ms < PROBE_WINDOW_MS.0
    }

    /// The version in force; zero before the first.
    pub fn config_version(&self) -> ConfigVersion {
        self.config.version()
    }

    /// The newest version if it failed its checks, else zero.
    pub fn rejected_config_version(&self) -> ConfigVersion {
        self.config.rejected_version().map_or(ConfigVersion(0), |(version, _)| *version)
    }

    /// Highest version whose document is known, in force or not.
    pub fn known_config_version(&self) -> ConfigVersion {
        self.config.known_version()
    }

    pub(super) fn handle_config_service_result(&mut self, is_answered: bool) {
        let now_ms = self.now.monotonic_ms;
        if is_answered {
            self.config_service_lost_ms = None;
            self.members.set_cut_off(false);
            return;
        }
        let lost_ms = *self.config_service_lost_ms.get_or_insert(now_ms);
        if now_ms - lost_ms >= CUT_OFF_AFTER_MS {
            self.members.set_cut_off(true);
        }
    }

    pub(super) fn handle_config_document(&mut self, version: ConfigVersion, document: Value) {
        let result = self.config.take_document(version, document);
        self.log_config_result(version, result.map(|is_new| is_new.then_some("document")));
        self.deliver_deferred_messages();
    }

    pub(super) fn handle_config_changes(
        &mut self,
        changes: Vec<Change>,
        from: Option<&InstanceId>,
    ) {
        let known_before = self.config.known_version();
        let Some(newest) = changes.last().map(|change| change.version) else {
            return;
        };
        match self.config.take_changes(changes) {
            Ok(true) => {
                self.log(
                    "config_gap",
                    None,
                    vec![("known", known_before.to_string()), ("newest", newest.to_string())],
                );
                match from {
                    Some(peer) => {
                        self.send_to_peer(peer, PeerMessage::ChangesRequest(ConfigVersion(0)))
                    }
                    None => self.actions.push(Action::FetchDocument),
                }
            }
            Ok(false) if newest > known_before => self.log_config_result(newest, Ok(Some("patch"))),
            Ok(false) => {}
            Err(error) => self.log_config_result(newest, Err(error)),
        }
        self.deliver_deferred_messages();
    }

    pub(super) fn handle_changes_request(&mut self, peer: &InstanceId, after: ConfigVersion) {
        if self.config.known_version() <= after {
            return;
        }
        let message = match self.config.changes_after(after) {
            Some(changes) => PeerMessage::Changes(changes),
            None => {
                PeerMessage::Document(self.config.known_version(), self.config.document().clone())
            }
        };
        self.send_to_peer(peer, message);
    }

    /// Fetches a version that a peer named, unless the same or a newer one was requested recently.
    pub(super) fn fetch_config_from_peer(&mut self, peer: &InstanceId, version: ConfigVersion) {
        let now_ms = self.now.monotonic_ms;
        let known_version = self.config.known_version();
        let is_fetching = self.config_fetch.version >= version
            && self
                .config_fetch
                .requested_ms
                .is_some_and(|requested_ms| now_ms - requested_ms < FETCH_RETRY_MS);
        if version <= known_version || is_fetching {
            return;
        }
        self.config_fetch = ConfigFetch { version, requested_ms: Some(now_ms) };
        self.send_to_peer(peer, PeerMessage::ChangesRequest(known_version));
    }

    /// Keeps a message until the version it names is known. Drops it if too many others are kept.
    pub(super) fn defer_message(&mut self, envelope: Envelope) {
        let deferred_since_ms = self.now.monotonic_ms;
        if self.deferred_messages.len() < MAX_DEFERRED_MESSAGES {
            self.deferred_messages.push(DeferredMessage { envelope, deferred_since_ms });
        }
    }

    /// Handles the messages whose version is now known and drops those that have waited too long.
    pub(super) fn deliver_deferred_messages(&mut self) {
        let (now_ms, known_version) = (self.now.monotonic_ms, self.config.known_version());
        for deferred in std::mem::take(&mut self.deferred_messages) {
            if deferred.envelope.config_version <= known_version {
                self.handle_peer_message(deferred.envelope);
                continue;
            }
            if now_ms - deferred.deferred_since_ms < MAX_DEFERRAL_MS {
                self.deferred_messages.push(deferred);
            }
        }
    }

    fn log_config_result(
        &mut self,
        version: ConfigVersion,
        result: Result<Option<&str>, ConfigError>,
    ) {
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
