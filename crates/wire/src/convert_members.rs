//! Conversion of heartbeats and other membership messages.
//!
//! A digest without a member belongs to the sender, whose id is already in the envelope.

use turmericrail_core::ids::MemberKey;
use turmericrail_core::membership::{
    Heartbeat, LeavingDigest, LoadDigest, MemberBeat, MemberDigest, Members, MembersRequest,
    ServerLoad, Summary, SummaryHead,
};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Millis, Streams, Tokens};

use crate::convert::{ConvertError, decode_holder, encode_holder, parse};
use crate::peer;

pub(crate) fn encode_heartbeat(heartbeat: &Heartbeat) -> peer::Heartbeat {
    let own = peer::MemberDigest { member: None, ..encode_member(&heartbeat.own) };
    peer::Heartbeat {
        own: Some(own),
        records: heartbeat.records.iter().map(encode_member).collect(),
        beat_keys: heartbeat.beats.iter().map(|beat| encode_key(&beat.key)).collect(),
        beats: heartbeat.beats.iter().map(|beat| beat.beat).collect(),
        heads: heartbeat.heads.iter().map(encode_head).collect(),
        summary: heartbeat.summary.as_ref().map(encode_summary),
        loads: heartbeat.loads.iter().map(encode_load).collect(),
        list_age_ms: heartbeat.list_age_ms.map(|age_ms| age_ms.0),
        leaving_servers: heartbeat.leaving_servers.iter().map(encode_leaving).collect(),
    }
}

pub(crate) fn decode_heartbeat(
    heartbeat: peer::Heartbeat,
    from: &Holder,
) -> Result<Heartbeat, ConvertError> {
    let own = heartbeat.own.ok_or(ConvertError::Missing("own digest"))?;
    if heartbeat.beat_keys.len() != heartbeat.beats.len() {
        return Err(ConvertError::Missing("a beat for each key"));
    }
    let beats = heartbeat.beat_keys.into_iter().zip(heartbeat.beats);
    let records = heartbeat.records.into_iter().map(|digest| decode_member(digest, from));
    let heads = heartbeat.heads.into_iter().map(decode_head);
    let loads = heartbeat.loads.into_iter().map(decode_load);
    let leaving = heartbeat.leaving_servers.into_iter().map(decode_leaving);
    Ok(Heartbeat {
        own: decode_member(own, from)?,
        records: records.collect::<Result<_, _>>()?,
        beats: beats.map(|(key, beat)| MemberBeat { key: decode_key(key), beat }).collect(),
        heads: heads.collect::<Result<_, _>>()?,
        summary: heartbeat.summary.map(decode_summary).transpose()?,
        loads: loads.collect::<Result<_, _>>()?,
        list_age_ms: heartbeat.list_age_ms.map(Millis),
        leaving_servers: leaving.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn encode_members_request(request: &MembersRequest) -> peer::MembersRequest {
    peer::MembersRequest {
        keys: request.keys.iter().map(encode_key).collect(),
        data_centres: request.data_centres.iter().map(ToString::to_string).collect(),
    }
}

pub(crate) fn decode_members_request(
    request: peer::MembersRequest,
) -> Result<MembersRequest, ConvertError> {
    let data_centres = request.data_centres.iter().map(|text| parse("data centre", text));
    Ok(MembersRequest {
        keys: request.keys.into_iter().map(decode_key).collect(),
        data_centres: data_centres.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn encode_members(members: &Members) -> peer::Members {
    peer::Members {
        records: members.records.iter().map(encode_member).collect(),
        summaries: members.summaries.iter().map(encode_summary).collect(),
    }
}

pub(crate) fn decode_members(
    members: peer::Members,
    from: &Holder,
) -> Result<Members, ConvertError> {
    let records = members.records.into_iter().map(|digest| decode_member(digest, from));
    let summaries = members.summaries.into_iter().map(decode_summary);
    Ok(Members {
        records: records.collect::<Result<_, _>>()?,
        summaries: summaries.collect::<Result<_, _>>()?,
    })
}

fn encode_key(key: &MemberKey) -> u32 {
    key.0 as u32
}

fn decode_key(key: u32) -> MemberKey {
    MemberKey(u64::from(key))
}

fn encode_member(digest: &MemberDigest) -> peer::MemberDigest {
    peer::MemberDigest {
        member: Some(encode_holder(&digest.holder())),
        beat: digest.beat,
        is_leaving: digest.is_leaving,
        peer_address: digest.peer_address.to_string(),
        data_centre: digest.data_centre.to_string(),
        revision: digest.revision,
        is_cut_off: digest.is_cut_off,
    }
}

fn decode_member(digest: peer::MemberDigest, from: &Holder) -> Result<MemberDigest, ConvertError> {
    let member = match digest.member {
        Some(member) => decode_holder(Some(member))?,
        None => from.clone(),
    };
    Ok(MemberDigest {
        instance: member.instance,
        incarnation: member.incarnation,
        revision: digest.revision,
        beat: digest.beat,
        is_leaving: digest.is_leaving,
        is_cut_off: digest.is_cut_off,
        peer_address: parse("peer address", &digest.peer_address)?,
        data_centre: parse("data centre", &digest.data_centre)?,
    })
}

fn encode_head(head: &SummaryHead) -> peer::SummaryHead {
    peer::SummaryHead {
        data_centre: head.data_centre.to_string(),
        clock: head.clock,
        hash: head.hash as u32,
    }
}

fn decode_head(head: peer::SummaryHead) -> Result<SummaryHead, ConvertError> {
    let data_centre = parse("data centre", &head.data_centre)?;
    Ok(SummaryHead { data_centre, clock: head.clock, hash: u64::from(head.hash) })
}

fn encode_summary(summary: &Summary) -> peer::Summary {
    peer::Summary {
        data_centre: summary.data_centre.to_string(),
        clock: summary.clock,
        members: summary.members.iter().map(encode_key).collect(),
    }
}

fn decode_summary(summary: peer::Summary) -> Result<Summary, ConvertError> {
    let data_centre = parse("data centre", &summary.data_centre)?;
    let members = summary.members.into_iter().map(decode_key).collect();
    Ok(Summary { data_centre, clock: summary.clock, members })
}

fn encode_load(digest: &LoadDigest) -> peer::ServerLoad {
    peer::ServerLoad {
        server: digest.server.to_string(),
        free_streams: digest.load.free_streams.0,
        free_pieces: digest.load.free_pieces.0,
        queued_tokens: digest.load.queued_tokens.0,
        age_ms: digest.age_ms.0,
    }
}

fn decode_load(load: peer::ServerLoad) -> Result<LoadDigest, ConvertError> {
    let server = parse("server", &load.server)?;
    let age_ms = Millis(load.age_ms);
    let load = ServerLoad {
        free_streams: Streams(load.free_streams),
        free_pieces: KvPieces(load.free_pieces),
        queued_tokens: Tokens(load.queued_tokens),
    };
    Ok(LoadDigest { server, load, age_ms })
}

fn encode_leaving(digest: &LeavingDigest) -> peer::LeavingServer {
    peer::LeavingServer { server: digest.server.to_string(), age_ms: digest.age_ms.0 }
}

fn decode_leaving(leaving: peer::LeavingServer) -> Result<LeavingDigest, ConvertError> {
    let server = parse("server", &leaving.server)?;
    Ok(LeavingDigest { server, age_ms: Millis(leaving.age_ms) })
}
