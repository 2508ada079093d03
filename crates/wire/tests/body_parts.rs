//! A body has a regular end only if its messages say so; a closed channel or an error aborts it.

use async_std::io::ReadExt;
use http_types::Body;
use turmericrail_wire::body::{BodyPart, BodyStatus, channel_body, message_body};

fn part(text: &str, status: BodyStatus) -> BodyPart {
    BodyPart { bytes: text.as_bytes().to_vec(), status }
}

fn body_of(messages: &[&'static str]) -> Body {
    let (sender, receiver) = async_channel::unbounded();
    for message in messages {
        sender.try_send(*message).unwrap();
    }
    message_body(part("first ", BodyStatus::More), receiver, |message| match message {
        Some("end") => part("end", BodyStatus::End),
        Some(text) => part(text, BodyStatus::More),
        None => part("", BodyStatus::Abort),
    })
}

#[async_std::test]
async fn complete_body() {
    let mut text = String::new();
    body_of(&["a ", "b ", "end", "late"]).read_to_string(&mut text).await.unwrap();
    assert_eq!(text, "first a b end");
}

#[async_std::test]
async fn closed_channel() {
    let mut bytes = Vec::new();
    body_of(&["a "]).read_to_end(&mut bytes).await.unwrap_err();
    assert_eq!(bytes, b"first a ");
}

#[async_std::test]
async fn error_in_channel() {
    let (sender, receiver) = async_channel::unbounded();
    sender.try_send(Ok(b"a".to_vec())).unwrap();
    sender.try_send(Err(std::io::Error::other("cut"))).unwrap();
    let mut bytes = Vec::new();
    channel_body(receiver).read_to_end(&mut bytes).await.unwrap_err();
    assert_eq!(bytes, b"a");
}
