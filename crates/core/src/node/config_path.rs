//! Configuration: what the service and the peers tell, and what peers ask for.

use serde_json::Value;

use crate::action::Action;
use crate::config::{Change, ConfigError};
use crate::ids::{ConfigVersion, InstanceId};
use crate::message::PeerMessage;
use crate::node::Node;

impl Node {
    pub(super) fn take_document(&mut self, version: ConfigVersion, document: Value) {
        let result = self.config.take_document(version, document);
        self.log_config(version, result.map(|is_new| is_new.then_some("document")));
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
