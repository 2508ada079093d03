//! Records which requests servers were lost to, and exchanges that with the other instances.
//!
//! What this instance sees goes to the instances that others follow (`store_follow`) at once, and
//! what an exchange brings to those of its own data centre, so that a request is known everywhere
//! within a few round trips. A request that was lost with one server alone is told a little later:
//! most are answered by another one meanwhile.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use tonic::{Request, Status};
use turmericrail_core::forward::{Loss, LossCause, LossNotice, LossSubject, Quarantine, Suspect};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;

use super::relay;
use super::relay_members;
use super::relay_notices;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Time in which notices are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Time for which the loss of a request with one server alone is held back.
const HOLD_TIME_MS: Millis = Millis(200);
/// Longest wait before a survival is told, so that few of the instances that saw one tell it.
const MAX_SURVIVAL_DELAY: Duration = Duration::from_millis(300);
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);

/// Notices that are still to be sent.
#[derive(Default)]
struct Unsent {
    to_all: Vec<LossNotice>,
    to_own_data_centre: Vec<LossNotice>,
    /// Losses of requests that may be answered yet, and when they are told.
    held: Vec<(Millis, Loss)>,
}

impl Unsent {
    /// Moves held losses to those for all: of requests that were lost again, and what is due.
    fn release(&mut self, now_ms: Millis, is_lost_again: impl Fn(RequestFingerprint) -> bool) {
        let is_due = |held: &(Millis, Loss)| held.0 <= now_ms || is_lost_again(held.1.request);
        let (due, held) = std::mem::take(&mut self.held).into_iter().partition(is_due);
        self.held = held;
        self.to_all.extend(due.into_iter().map(|(_, loss)| LossNotice::Lost(loss)));
    }
}

/// What is still to be sent, and the numbering of the notices of this process.
pub struct LossNoticeState {
    /// Names the numbering of this process.
    pub epoch: u64,
    unsent: Mutex<Unsent>,
    wake_sender: Sender<()>,
    woken: Receiver<()>,
}

impl Default for LossNoticeState {
    fn default() -> Self {
        let (wake_sender, woken) = async_channel::bounded(1);
        Self { epoch: fastrand::u64(1..), unsent: Mutex::default(), wake_sender, woken }
    }
}

impl LossNoticeState {
    fn unsent(&self) -> MutexGuard<'_, Unsent> {
        self.unsent.lock().unwrap_or_else(|_| std::process::abort())
    }

    fn wake(&self) {
        // A full channel has woken the sending task already.
        let _ = self.wake_sender.try_send(());
    }
}

/// Records a loss that this instance saw.
pub fn record_loss(shared: &Arc<Shared>, loss: Loss) {
    let now_ms = clock::now_ms();
    let request = loss.request;
    let told = update(shared, |quarantine| quarantine.record_loss(now_ms, loss));
    let Some(notice) = told else {
        return;
    };
    log_notice(&notice, now_ms, "answer");
    let is_lost_again = shared.forwarder().quarantine().records().is_lost_again(request);
    let mut unsent = shared.loss_notices.unsent();
    match notice {
        LossNotice::Lost(loss) if loss.parts.is_empty() && !is_lost_again => {
            unsent.held.push((now_ms + HOLD_TIME_MS, loss));
            drop(unsent);
            task::spawn(wake_after_hold(Arc::clone(shared)));
            return;
        }
        notice => unsent.to_all.push(notice),
    }
    unsent.release(now_ms, |held| held == request);
    drop(unsent);
    shared.loss_notices.wake();
    shared.relay.change.notify();
}

async fn wake_after_hold(shared: Arc<Shared>) {
    task::sleep(Duration::from_millis(HOLD_TIME_MS.0)).await;
    shared.loss_notices.wake();
}

/// Records a whole answer to a request.
pub fn record_answer(shared: &Shared, service: &ServiceId, request: RequestFingerprint) {
    let now_ms = clock::now_ms();
    let told = {
        let mut forwarder = shared.forwarder();
        forwarder.broken_calls().record_answer(request);
        if !forwarder.quarantine().records().is_named(request) {
            return;
        }
        drop(forwarder);
        update(shared, |quarantine| quarantine.record_answer(now_ms, service, request))
    };
    let Some(notice) = told else {
        return;
    };
    log_notice(&notice, now_ms, "answer");
    let mut unsent = shared.loss_notices.unsent();
    let held_count = unsent.held.len();
    unsent.held.retain(|(_, loss)| loss.request != request);
    let was_told = unsent.held.len() == held_count;
    if was_told {
        unsent.to_all.push(notice);
        drop(unsent);
        shared.loss_notices.wake();
        shared.relay.change.notify();
    }
}

/// Records that an answer went on past its first events.
pub fn record_survival(shared: &Shared, service: &ServiceId, parts: &[PromptPartId]) {
    let now_ms = clock::now_ms();
    if update(shared, |quarantine| quarantine.record_survival(now_ms, service, parts)) {
        shared.loss_notices.wake();
    }
}

/// Merges notices of another instance; returns those that are new.
pub fn merge(shared: &Shared, notices: Option<wire::LossNotices>) -> Vec<LossNotice> {
    let now_ms = clock::now_ms();
    let received = relay_notices::from_wire(now_ms, notices.unwrap_or_default());
    if received.is_empty() {
        return Vec::new();
    }
    let new = update(shared, |quarantine| quarantine.merge_all(now_ms, received));
    new.iter().for_each(|notice| log_notice(notice, now_ms, "peer"));
    if !new.is_empty() {
        shared.loss_notices.wake();
        shared.relay.change.notify();
    }
    new
}

/// Merges notices of an exchange, and passes on those that are new: the instances that others
/// follow may not know them.
pub fn merge_exchanged(shared: &Shared, notices: Option<wire::LossNotices>) {
    let new = merge(shared, notices);
    if !new.is_empty() {
        shared.loss_notices.unsent().to_own_data_centre.extend(new);
        shared.loss_notices.wake();
    }
}

/// Drops notices that are old.
pub fn expire(shared: &Shared) {
    update(shared, |quarantine| quarantine.expire(clock::now_ms()));
}

/// The notices after one with this number; `None` if there are none.
pub fn list_after(shared: &Shared, number: u64) -> Option<wire::LossNotices> {
    let notices = {
        let mut forwarder = shared.forwarder();
        let quarantine = forwarder.quarantine();
        if quarantine.records().last_number() <= number {
            return None;
        }
        quarantine.records().notices_after(number)
    };
    (!notices.is_empty()).then(|| relay_notices::to_wire(clock::now_ms(), &notices))
}

/// Hash of the notices that this instance knows.
pub fn hash(shared: &Shared) -> u64 {
    shared.forwarder().quarantine().records().hash()
}

/// Sends notices in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    while shared.loss_notices.woken.recv().await.is_ok() {
        task::sleep(COLLECT_TIME).await;
        send_unsent(&shared);
        task::sleep(MAX_SURVIVAL_DELAY.mul_f64(fastrand::f64())).await;
        let survivals =
            update(&shared, |quarantine| quarantine.take_untold_survivals(clock::now_ms()));
        if !survivals.is_empty() {
            shared.loss_notices.unsent().to_all.extend(survivals);
            shared.relay.change.notify();
        }
        send_unsent(&shared);
    }
}

fn send_unsent(shared: &Arc<Shared>) {
    let now_ms = clock::now_ms();
    let (to_all, to_own_data_centre) = {
        let mut unsent = shared.loss_notices.unsent();
        unsent.release(now_ms, |_| false);
        (std::mem::take(&mut unsent.to_all), std::mem::take(&mut unsent.to_own_data_centre))
    };
    let (local, remote) = relay_members::watching_instances(shared);
    let to_local = [to_all.as_slice(), to_own_data_centre.as_slice()].concat();
    for (addresses, notices) in [(local, to_local), (remote, to_all)] {
        if notices.is_empty() {
            continue;
        }
        let message = relay_notices::to_wire(now_ms, &notices);
        for address in addresses {
            task::spawn(notify(address, message.clone()));
        }
    }
}

async fn notify(address: SocketAddr, notices: wire::LossNotices) {
    let notifying = async {
        let mut client = relay::connect(address).await?;
        client.notify_parts(Request::new(notices)).await.map(|_| ())
    };
    let notified = async_std::future::timeout(NOTIFY_TIMEOUT, notifying).await;
    let notified = notified.unwrap_or_else(|_| Err(Status::deadline_exceeded("no reply")));
    if let Err(status) = notified {
        let problem = status.message();
        spdlog::debug!("event=notify_failed peer={address} problem={problem:?}");
    }
}

/// Changes the quarantine, and logs which prompts are quarantined now or no longer.
fn update<T>(shared: &Shared, change: impl FnOnce(&mut Quarantine) -> T) -> T {
    let mut forwarder = shared.forwarder();
    let quarantine = forwarder.quarantine();
    let before = quarantine.causes().to_vec();
    let result = change(quarantine);
    let after = quarantine.causes().to_vec();
    drop(forwarder);
    let is_in = |causes: &[LossCause], cause: &LossCause| {
        causes.iter().any(|other| other.subject == cause.subject)
    };
    for cause in after.iter().filter(|cause| !is_in(&before, cause)) {
        log_cause("began", cause);
    }
    for cause in before.iter().filter(|cause| !is_in(&after, cause)) {
        log_cause("ended", cause);
    }
    result
}

fn log_cause(change: &str, cause: &LossCause) {
    let servers = cause.servers.len();
    match &cause.subject {
        LossSubject::Request(request) => {
            spdlog::warn!(
                "event=quarantine change={change} fingerprint={request} servers={servers}"
            );
        }
        LossSubject::Parts { service, parts } => spdlog::warn!(
            "event=quarantine change={change} service={service} parts={} servers={servers}",
            join_parts(parts)
        ),
    }
}

fn log_notice(notice: &LossNotice, now_ms: Millis, source: &str) {
    match notice {
        LossNotice::Lost(loss) => spdlog::info!(
            "event=loss service={} server={} fingerprint={} parts={} is_server_ended={} is_late={} \
             age_ms={} source={source}",
            loss.service,
            loss.server.server,
            loss.request,
            join_parts(&loss.parts),
            loss.is_server_ended,
            loss.is_late,
            now_ms.saturating_sub(loss.lost_ms).0
        ),
        LossNotice::Survived(survival) => {
            let age_ms = now_ms.saturating_sub(survival.survived_ms).0;
            let service = &survival.service;
            match survival.suspect {
                Suspect::Part(part) => spdlog::info!(
                    "event=survival service={service} part={part} age_ms={age_ms} source={source}"
                ),
                Suspect::Request(request) => spdlog::info!(
                    "event=survival service={service} fingerprint={request} age_ms={age_ms} \
                     source={source}"
                ),
            }
        }
    }
}

/// The parts in one value of a log line.
pub fn join_parts<'a>(parts: impl IntoIterator<Item = &'a PromptPartId>) -> String {
    let parts: Vec<_> = parts.into_iter().map(ToString::to_string).collect();
    if parts.is_empty() { "none".to_owned() } else { parts.join(",") }
}
