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
        request: vec![7; 16],
        is_server_ended: true,
        is_late: false,
    };
    let survival = |number: u64| relay::Survival {
        service: "devis-llm".to_owned(),
        part: u64::MAX - number,
        age_ms: 60_000,
        request: Vec::new(),
    };
    let notices = relay::LossNotices {
        losses: (0..48).map(loss).collect(),
        survivals: (0..32).map(survival).collect(),
        request_losses: Vec::new(),
    };
    assert!(notices.encoded_len() <= 5_000, "{}", notices.encoded_len());
    // An exchange, one in three seconds, also tells of requests that were lost with servers.
    let request_loss = |number: u64| relay::RequestLosses {
        service: "devis-llm".to_owned(),
        server: format!("i-6b8f23c{number:03}"),
        started_ms: 1_777_434_136_831 + number,
        age_ms: 1_200_000,
        requests: vec![vec![7; 16]],
        late_requests: Vec::new(),
    };
    let request_losses: Vec<_> = (0..64).map(request_loss).collect();
    let exchanged = relay::LossNotices { request_losses, ..notices };
    assert!(exchanged.encoded_len() <= 15_000, "{}", exchanged.encoded_len());
}
