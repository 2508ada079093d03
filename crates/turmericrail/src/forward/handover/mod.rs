//! Hands requests over to other instances while this one reaches no server that can serve them, and
//! takes over theirs.

mod hop_answer;
pub mod listener;
pub mod reach_probes;
mod sender;
mod serving;
pub mod taking;

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};

use turmericrail_core::ids::{ConfigVersion, ServiceId};

use super::settings::ForwardSettings;
use super::store::change_signal::ChangeSignal;

pub use serving::{Arrival, offer_on_arrival, serve_or_hand_over};

/// Configuration version by which the sending instance chose; one of the last fields of the head.
const CONFIG_HEADER: &str = "Handover-Config";
/// Most servers that may still run the request, by the attempts of its route.
const ATTEMPTS_HEADER: &str = "Handover-Attempts";
/// Why a request isn't taken over.
const DECLINED_HEADER: &str = "Handover-Declined";
/// Status of an answer that declines a request.
const DECLINED_STATUS: u16 = 503;

/// Who sent a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Origin {
    Caller,
    /// Another instance, which chose by this configuration version.
    Instance {
        config_version: ConfigVersion,
        /// Most servers that may still run it.
        max_attempts: u32,
    },
}

impl Origin {
    pub fn is_caller(self) -> bool {
        self == Origin::Caller
    }
}

/// State of handing over.
pub struct HandoverState {
    /// Port of all instances for it; `None` if requests aren't handed over.
    port: Option<u16>,
    /// Given when a service is found cut off.
    cut_off: ChangeSignal,
    /// Services whose servers are probed until one is reached.
    probed_services: Mutex<BTreeSet<ServiceId>>,
}

impl HandoverState {
    /// The state at the start.
    pub fn new(settings: &ForwardSettings) -> Self {
        Self {
            port: settings.handover_port,
            cut_off: ChangeSignal::default(),
            probed_services: Mutex::default(),
        }
    }

    fn is_enabled(&self) -> bool {
        self.port.is_some()
    }

    fn probed_services(&self) -> MutexGuard<'_, BTreeSet<ServiceId>> {
        self.probed_services.lock().unwrap_or_else(|_| std::process::abort())
    }
}
