//! Notices of engines that were lost to parts of prompts.

use prost::Message;
use turmericrail_wire::relay;

#[test]
fn notice_sizes() {
    // Guards against notices of lost engines that take more than an instance's bytes of a second.
    let loss = |number: u64| relay::PartLoss {
        service: "devis-llm".to_owned(),
        server: format!("i-6b8f23c{number:03}"),
        started_ms: 1_777_434_136_831 + number,
        parts: vec![u64::MAX - number, u64::MAX],
        age_ms: 1_200_000,
    };
    let survival = |number: u64| relay::PartSurvival {
        service: "devis-llm".to_owned(),
        part: u64::MAX - number,
        age_ms: 60_000,
    };
    let notices = relay::PartNotices {
        losses: (0..64).map(loss).collect(),
        survivals: (0..32).map(survival).collect(),
    };
    assert!(notices.encoded_len() <= 5_000, "{}", notices.encoded_len());
}
