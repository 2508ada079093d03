//! The notices of lost answers, as instances tell them to each other.

use std::collections::BTreeMap;

use turmericrail_core::forward::{Loss, LossNotice, ServerRun, Survival, Suspect};
use turmericrail_core::ids::PromptPartId;
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::relay as wire;

/// A message of notices, with their ages in place of their times.
pub fn to_wire(now_ms: Millis, notices: &[LossNotice]) -> wire::LossNotices {
    let mut message = wire::LossNotices::default();
    let mut by_server: BTreeMap<&ServerRun, wire::RequestLosses> = BTreeMap::new();
    for notice in notices {
        match notice {
            LossNotice::Lost(loss) if loss.parts.is_empty() => {
                let losses = by_server.entry(&loss.server).or_default();
                add_request_loss(losses, now_ms, loss);
            }
            LossNotice::Lost(loss) => message.losses.push(part_loss(now_ms, loss)),
            LossNotice::Survived(survival) => message.survivals.push(to_survival(now_ms, survival)),
        }
    }
    message.request_losses = by_server.into_values().collect();
    message
}

fn add_request_loss(losses: &mut wire::RequestLosses, now_ms: Millis, loss: &Loss) {
    losses.service = loss.service.to_string();
    losses.server = loss.server.server.to_string();
    losses.started_ms = loss.server.started_ms.0;
    losses.age_ms = losses.age_ms.max(now_ms.saturating_sub(loss.lost_ms).0);
    let requests = if loss.is_late { &mut losses.late_requests } else { &mut losses.requests };
    requests.push(fingerprint_bytes(loss.request));
}

fn part_loss(now_ms: Millis, loss: &Loss) -> wire::PartLoss {
    wire::PartLoss {
        service: loss.service.to_string(),
        server: loss.server.server.to_string(),
        started_ms: loss.server.started_ms.0,
        parts: loss.parts.iter().map(|part| part.0).collect(),
        age_ms: now_ms.saturating_sub(loss.lost_ms).0,
        request: fingerprint_bytes(loss.request),
        is_server_ended: loss.is_server_ended,
        is_late: loss.is_late,
    }
}

fn to_survival(now_ms: Millis, survival: &Survival) -> wire::Survival {
    let (part, request) = match survival.suspect {
        Suspect::Part(part) => (part.0, Vec::new()),
        Suspect::Request(request) => (0, fingerprint_bytes(request)),
    };
    let age_ms = now_ms.saturating_sub(survival.survived_ms).0;
    wire::Survival { service: survival.service.to_string(), part, age_ms, request }
}

fn fingerprint_bytes(request: RequestFingerprint) -> Vec<u8> {
    request.0.to_le_bytes().to_vec()
}

fn to_fingerprint(bytes: &[u8]) -> Option<RequestFingerprint> {
    bytes.try_into().ok().map(u128::from_le_bytes).map(RequestFingerprint)
}

/// The notices of a message; those that can't be used are left out.
pub fn from_wire(now_ms: Millis, message: wire::LossNotices) -> Vec<LossNotice> {
    let part_losses = message.losses.iter().map(|loss| from_part_loss(now_ms, loss));
    let request_losses = message.request_losses.iter().flat_map(|losses| {
        let late = losses.late_requests.iter().map(|request| (request, true));
        let requests = losses.requests.iter().map(|request| (request, false)).chain(late);
        requests.map(|(request, is_late)| from_request_loss(now_ms, losses, request, is_late))
    });
    let survivals = message.survivals.iter().map(|survival| from_survival(now_ms, survival));
    let mut notices = Vec::new();
    for notice in part_losses.chain(request_losses).chain(survivals) {
        match notice {
            Some(notice) => notices.push(notice),
            None => spdlog::warn!("event=loss_notice_malformed"),
        }
    }
    notices
}

fn from_part_loss(now_ms: Millis, loss: &wire::PartLoss) -> Option<LossNotice> {
    // Notices of earlier releases name no request: each loss counts as one of a request of its own.
    let own_request =
        || RequestFingerprint::of(&[loss.server.as_bytes(), &loss.started_ms.to_le_bytes()]);
    let request =
        if loss.request.is_empty() { own_request() } else { to_fingerprint(&loss.request)? };
    Some(LossNotice::Lost(Loss {
        service: loss.service.parse().ok()?,
        server: run(&loss.server, loss.started_ms)?,
        request,
        parts: loss.parts.iter().copied().map(PromptPartId).collect(),
        is_server_ended: loss.is_server_ended,
        is_late: loss.is_late,
        lost_ms: now_ms.saturating_sub(Millis(loss.age_ms)),
    }))
}

fn from_request_loss(
    now_ms: Millis,
    losses: &wire::RequestLosses,
    request: &[u8],
    is_late: bool,
) -> Option<LossNotice> {
    Some(LossNotice::Lost(Loss {
        service: losses.service.parse().ok()?,
        server: run(&losses.server, losses.started_ms)?,
        request: to_fingerprint(request)?,
        parts: Default::default(),
        is_server_ended: true,
        is_late,
        lost_ms: now_ms.saturating_sub(Millis(losses.age_ms)),
    }))
}

fn from_survival(now_ms: Millis, survival: &wire::Survival) -> Option<LossNotice> {
    let suspect = if survival.request.is_empty() {
        Suspect::Part(PromptPartId(survival.part))
    } else {
        Suspect::Request(to_fingerprint(&survival.request)?)
    };
    let survived_ms = now_ms.saturating_sub(Millis(survival.age_ms));
    let service = survival.service.parse().ok()?;
    Some(LossNotice::Survived(Survival { service, suspect, survived_ms }))
}

fn run(server: &str, started_ms: u64) -> Option<ServerRun> {
    Some(ServerRun { server: server.parse().ok()?, started_ms: WallMillis(started_ms) })
}
