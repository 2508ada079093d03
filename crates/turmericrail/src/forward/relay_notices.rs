//! The notices of shared parts of prompts, as instances tell them to each other.

use turmericrail_core::forward::{PartLoss, PartNotice, PartSurvival, ServerRun};
use turmericrail_core::ids::PromptPartId;
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::relay as wire;

/// A message of notices, with their ages in place of their times.
pub fn to_wire(now_ms: Millis, notices: &[PartNotice]) -> wire::PartNotices {
    let mut message = wire::PartNotices::default();
    for notice in notices {
        match notice {
            PartNotice::Lost(loss) => message.losses.push(wire::PartLoss {
                service: loss.service.to_string(),
                server: loss.engine.server.to_string(),
                started_ms: loss.engine.started_ms.0,
                parts: loss.parts.iter().map(|part| part.0).collect(),
                age_ms: now_ms.saturating_sub(loss.lost_ms).0,
            }),
            PartNotice::Survived(survival) => message.survivals.push(wire::PartSurvival {
                service: survival.service.to_string(),
                part: survival.part.0,
                age_ms: now_ms.saturating_sub(survival.survived_ms).0,
            }),
        }
    }
    message
}

/// The notices of a message; those that can't be used are left out.
pub fn from_wire(now_ms: Millis, message: wire::PartNotices) -> Vec<PartNotice> {
    let mut notices = Vec::new();
    for loss in message.losses {
        let (Ok(service), Ok(server)) = (loss.service.parse(), loss.server.parse()) else {
            spdlog::warn!("event=part_notice_malformed service={:?}", loss.service);
            continue;
        };
        let engine = ServerRun { server, started_ms: WallMillis(loss.started_ms) };
        let parts = loss.parts.into_iter().map(PromptPartId).collect();
        let lost_ms = now_ms.saturating_sub(Millis(loss.age_ms));
        notices.push(PartNotice::Lost(PartLoss { service, engine, parts, lost_ms }));
    }
    for survival in message.survivals {
        let Ok(service) = survival.service.parse() else {
            spdlog::warn!("event=part_notice_malformed service={:?}", survival.service);
            continue;
        };
        let part = PromptPartId(survival.part);
        let survived_ms = now_ms.saturating_sub(Millis(survival.age_ms));
        notices.push(PartNotice::Survived(PartSurvival { service, part, survived_ms }));
    }
    notices
}
