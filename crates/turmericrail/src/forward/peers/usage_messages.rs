//! What instances tell each other about the use of tenants, as messages.

use tonic::Status;
use turmericrail_core::forward::{
    MessageId, UsageLevels, UsageReply, UsageRequest, UsageStep, UsageTerms,
};
use turmericrail_core::ids::ConfigVersion;
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;

use super::relay_members;

pub fn request_to_wire(request: &UsageRequest) -> wire::ReserveUsageRequest {
    let (last_level, last_age_ms) = request.last_level.unzip();
    wire::ReserveUsageRequest {
        id: Some(id_to_wire(&request.id)),
        data_centre: request.data_centre.to_string(),
        tenant: request.tenant.to_string(),
        rate_per_s: request.terms.rate_per_s,
        burst: request.terms.burst,
        config_version: request.terms.version.0,
        asked: request.asked,
        reported: request.reported,
        reported_span_ms: request.reported_span_ms.0,
        is_deputy: request.is_deputy,
        void: request.void.iter().map(id_to_wire).collect(),
        last_level,
        last_level_age_ms: last_age_ms.unwrap_or_default().0,
        suspect_age_ms: request.suspect_age_ms.map(|age_ms| age_ms.0),
    }
}

fn id_to_wire(id: &MessageId) -> wire::UsageMessageId {
    let instance = id.instance.to_string();
    wire::UsageMessageId { instance, run: id.run, number: id.number }
}

pub fn request_from_wire(message: wire::ReserveUsageRequest) -> Result<UsageRequest, Status> {
    let numbers = [message.rate_per_s, message.burst, message.asked, message.reported];
    let is_usable = numbers.iter().chain(&message.last_level).all(|number| number.is_finite())
        && message.rate_per_s > 0.0
        && message.burst > 0.0
        && message.asked >= 0.0;
    let id = message.id.filter(|_| is_usable).ok_or_else(malformed)?;
    let last_age_ms = Millis(message.last_level_age_ms);
    Ok(UsageRequest {
        id: id_from_wire(id)?,
        data_centre: message.data_centre.parse().map_err(|_| malformed())?,
        tenant: message.tenant.parse().map_err(|_| malformed())?,
        terms: UsageTerms {
            rate_per_s: message.rate_per_s,
            burst: message.burst,
            version: ConfigVersion(message.config_version),
        },
        asked: message.asked,
        reported: message.reported,
        reported_span_ms: Millis(message.reported_span_ms),
        is_deputy: message.is_deputy,
        void: message.void.into_iter().map(id_from_wire).collect::<Result<_, _>>()?,
        last_level: message.last_level.map(|level| (level, last_age_ms)),
        suspect_age_ms: message.suspect_age_ms.map(Millis),
    })
}

fn id_from_wire(id: wire::UsageMessageId) -> Result<MessageId, Status> {
    let instance = id.instance.parse().map_err(|_| malformed())?;
    Ok(MessageId { instance, run: id.run, number: id.number })
}

fn malformed() -> Status {
    Status::invalid_argument("a field of the usage message can't be used")
}

pub fn step_to_wire(step: UsageStep) -> wire::ReserveUsageReply {
    match step {
        UsageStep::Reply(reply) => wire::ReserveUsageReply {
            is_granted: reply.is_granted,
            wait_ms: reply.wait_ms.0,
            level: reply.level,
            ..wire::ReserveUsageReply::default()
        },
        UsageStep::Redirect(member) => wire::ReserveUsageReply {
            redirect: Some(relay_members::member_to_wire(&member)),
            ..wire::ReserveUsageReply::default()
        },
        UsageStep::Start(_) | UsageStep::Unable => {
            wire::ReserveUsageReply { is_unable: true, ..wire::ReserveUsageReply::default() }
        }
    }
}

pub fn step_from_wire(reply: wire::ReserveUsageReply) -> Result<UsageStep, Status> {
    if reply.is_unable {
        return Ok(UsageStep::Unable);
    }
    if let Some(member) = &reply.redirect {
        let member = relay_members::member_from_wire(member).ok_or_else(malformed)?;
        return Ok(UsageStep::Redirect(member));
    }
    if !reply.level.is_finite() {
        return Err(malformed());
    }
    let wait_ms = Millis(reply.wait_ms);
    Ok(UsageStep::Reply(UsageReply { is_granted: reply.is_granted, wait_ms, level: reply.level }))
}

pub fn levels_to_wire(levels: &UsageLevels) -> wire::FetchUsageReply {
    let (stated_level, stated_age_ms) = levels.stated.unzip();
    let stated_age_ms = stated_age_ms.unwrap_or_default().0;
    wire::FetchUsageReply { level: levels.own, stated_level, stated_age_ms }
}

pub fn levels_from_wire(reply: &wire::FetchUsageReply) -> UsageLevels {
    let finite = |level: Option<f64>| level.filter(|level| level.is_finite());
    let stated_age_ms = Millis(reply.stated_age_ms);
    let stated = finite(reply.stated_level).map(|level| (level, stated_age_ms));
    UsageLevels { own: finite(reply.level), stated }
}
