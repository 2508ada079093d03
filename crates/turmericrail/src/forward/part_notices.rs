//! Records which shared parts of prompts engines were lost to, and exchanges that with the other
//! instances.
//!
//! What this instance sees goes to the instances that others follow (`store_follow`) at once, and
//! what an exchange brings to those of its own data centre, so that a part is known everywhere
//! within a few round trips.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use tonic::{Request, Status};
use turmericrail_core::forward::{LossCause, PartLoss, PartNotice, PartQuarantine, ServerRun};
use turmericrail_core::ids::{PromptPartId, ServiceId};
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;

use super::clock;
use super::relay;
use super::relay_members;
use super::relay_notices;
use super::shared::Shared;

/// Time in which notices are collected before they are sent.
const COLLECT_TIME: Duration = Duration::from_millis(20);
/// Longest wait before a survival is told, so that few of the instances that saw one tell it.
const MAX_SURVIVAL_DELAY: Duration = Duration::from_millis(300);
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(600);

/// Notices that are still to be sent.
#[derive(Default)]
struct Unsent {
    to_all: Vec<PartNotice>,
    to_own_data_centre: Vec<PartNotice>,
}

/// What is still to be sent, and the numbering of the notices of this process.
pub struct PartNoticeState {
    /// Names the numbering of this process.
    pub epoch: u64,
    unsent: Mutex<Unsent>,
    wake_sender: Sender<()>,
    woken: Receiver<()>,
}

impl Default for PartNoticeState {
    fn default() -> Self {
        let (wake_sender, woken) = async_channel::bounded(1);
        Self { epoch: fastrand::u64(1..), unsent: Mutex::default(), wake_sender, woken }
    }
}

impl PartNoticeState {
    fn unsent(&self) -> MutexGuard<'_, Unsent> {
        self.unsent.lock().unwrap_or_else(|_| std::process::abort())
    }

    fn wake(&self) {
        // A full channel has woken the sending task already.
        let _ = self.wake_sender.try_send(());
    }
}

/// Records that an engine was lost at the first events of an answer.
pub fn record_loss(
    shared: &Shared,
    service: &ServiceId,
    engine: &ServerRun,
    parts: &[PromptPartId],
) {
    let now_ms = clock::now_ms();
    let loss = PartLoss {
        service: service.clone(),
        engine: engine.clone(),
        parts: parts.iter().copied().collect(),
        lost_ms: now_ms,
    };
    let told = update(shared, |quarantine| quarantine.record_loss(now_ms, loss));
    let Some(notice) = told else {
        return;
    };
    log_notice(&notice, now_ms, "answer");
    shared.part_notices.unsent().to_all.push(notice);
    shared.part_notices.wake();
    shared.relay.change.notify();
}

/// Records that an answer went on past its first events.
pub fn record_survival(shared: &Shared, service: &ServiceId, parts: &[PromptPartId]) {
    let now_ms = clock::now_ms();
    if update(shared, |quarantine| quarantine.record_survival(now_ms, service, parts)) {
        shared.part_notices.wake();
    }
}

/// Merges notices of another instance; returns those that are new.
pub fn merge(shared: &Shared, notices: Option<wire::PartNotices>) -> Vec<PartNotice> {
    let now_ms = clock::now_ms();
    let received = relay_notices::from_wire(now_ms, notices.unwrap_or_default());
    if received.is_empty() {
        return Vec::new();
    }
    let is_new = |quarantine: &mut PartQuarantine, notice: &PartNotice| {
        quarantine.merge(now_ms, notice.clone())
    };
    let new: Vec<_> = update(shared, |quarantine| {
        received.into_iter().filter(|notice| is_new(quarantine, notice)).collect()
    });
    new.iter().for_each(|notice| log_notice(notice, now_ms, "peer"));
    if !new.is_empty() {
        shared.part_notices.wake();
        shared.relay.change.notify();
    }
    new
}

/// Merges notices of an exchange, and passes on those that are new: the instances that others
/// follow may not know them.
pub fn merge_exchanged(shared: &Shared, notices: Option<wire::PartNotices>) {
    let new = merge(shared, notices);
    if !new.is_empty() {
        shared.part_notices.unsent().to_own_data_centre.extend(new);
        shared.part_notices.wake();
    }
}

/// Drops notices that are old.
pub fn expire(shared: &Shared) {
    update(shared, |quarantine| quarantine.expire(clock::now_ms()));
}

/// The notices after one with this number; `None` if there are none.
pub fn list_after(shared: &Shared, number: u64) -> Option<wire::PartNotices> {
    let notices = {
        let mut forwarder = shared.forwarder();
        let quarantine = forwarder.part_quarantine();
        if quarantine.last_number() <= number {
            return None;
        }
        quarantine.notices_after(number)
    };
    (!notices.is_empty()).then(|| relay_notices::to_wire(clock::now_ms(), &notices))
}

/// Hash of the notices that this instance knows.
pub fn hash(shared: &Shared) -> u64 {
    shared.forwarder().part_quarantine().notices_hash()
}

/// Sends notices in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    while shared.part_notices.woken.recv().await.is_ok() {
        task::sleep(COLLECT_TIME).await;
        send_unsent(&shared);
        task::sleep(MAX_SURVIVAL_DELAY.mul_f64(fastrand::f64())).await;
        let survivals =
            update(&shared, |quarantine| quarantine.take_untold_survivals(clock::now_ms()));
        if !survivals.is_empty() {
            shared.part_notices.unsent().to_all.extend(survivals);
            shared.relay.change.notify();
        }
        send_unsent(&shared);
    }
}

fn send_unsent(shared: &Arc<Shared>) {
    let unsent = std::mem::take(&mut *shared.part_notices.unsent());
    let now_ms = clock::now_ms();
    let (local, remote) = relay_members::watching_instances(shared);
    let to_local = [unsent.to_all.as_slice(), unsent.to_own_data_centre.as_slice()].concat();
    for (addresses, notices) in [(local, to_local), (remote, unsent.to_all)] {
        if notices.is_empty() {
            continue;
        }
        let message = relay_notices::to_wire(now_ms, &notices);
        for address in addresses {
            task::spawn(notify(address, message.clone()));
        }
    }
}

async fn notify(address: SocketAddr, notices: wire::PartNotices) {
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
fn update<T>(shared: &Shared, change: impl FnOnce(&mut PartQuarantine) -> T) -> T {
    let mut forwarder = shared.forwarder();
    let quarantine = forwarder.part_quarantine();
    let before = quarantine.causes().to_vec();
    let result = change(quarantine);
    let after = quarantine.causes().to_vec();
    drop(forwarder);
    let is_in = |causes: &[LossCause], cause: &LossCause| {
        causes.iter().any(|other| other.service == cause.service && other.parts == cause.parts)
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
    let parts: Vec<_> = cause.parts.iter().copied().collect();
    spdlog::warn!(
        "event=part_quarantine change={change} service={} parts={} engines={}",
        cause.service,
        join_parts(&parts),
        cause.engine_count
    );
}

fn log_notice(notice: &PartNotice, now_ms: Millis, source: &str) {
    match notice {
        PartNotice::Lost(loss) => {
            let parts: Vec<_> = loss.parts.iter().copied().collect();
            spdlog::info!(
                "event=part_loss service={} server={} parts={} age_ms={} source={source}",
                loss.service,
                loss.engine.server,
                join_parts(&parts),
                now_ms.saturating_sub(loss.lost_ms).0
            );
        }
        PartNotice::Survived(survival) => spdlog::info!(
            "event=part_survival service={} part={} age_ms={} source={source}",
            survival.service,
            survival.part,
            now_ms.saturating_sub(survival.survived_ms).0
        ),
    }
}

/// The parts in one value of a log line.
pub fn join_parts(parts: &[PromptPartId]) -> String {
    if parts.is_empty() {
        return "none".to_owned();
    }
    parts.iter().map(ToString::to_string).collect::<Vec<_>>().join(",")
}
