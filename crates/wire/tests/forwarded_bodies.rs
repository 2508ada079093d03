//! Decoding of bodies with each kind of framing, from input in pieces of different sizes.

use quickcheck::{QuickCheck, TestResult};
use turmericrail_wire::http1::{
    BodyDecoder, BodyError, BodyFraming, ResponseHead, write_chunk, write_last_chunk,
};

fn decode(
    framing: BodyFraming,
    bytes: &[u8],
    piece_bytes: usize,
) -> Result<(Vec<u8>, usize, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut body, mut consumed) = (Vec::new(), 0);
    let mut end = 0;
    while end < bytes.len() && !decoder.is_done() {
        end = (end + piece_bytes).min(bytes.len());
        consumed += decoder.decode(&bytes[consumed..end], &mut body)?;
    }
    Ok((body, consumed, decoder.is_done()))
}

#[test]
fn chunks_round_trip() {
    fn property(parts: Vec<Vec<u8>>, piece_bytes: usize) -> TestResult {
        let mut bytes = Vec::new();
        for part in &parts {
            write_chunk(part, &mut bytes);
        }
        write_last_chunk(&mut bytes);
        let length = bytes.len();
        bytes.extend_from_slice(b"next");
        let decoded = decode(BodyFraming::Chunked, &bytes, piece_bytes % 7 + 1);
        TestResult::from_bool(decoded == Ok((parts.concat(), length, true)))
    }
    QuickCheck::new().tests(200).quickcheck(property as fn(Vec<Vec<u8>>, usize) -> TestResult);
}

#[test]
fn chunk_extensions() {
    let bytes = b"3;name=value\r\nabc\r\n0\r\nTrailer: x\r\n\r\n";
    let decoded = decode(BodyFraming::Chunked, bytes, 1);
    assert_eq!(decoded, Ok((b"abc".to_vec(), bytes.len(), true)));
}

#[test]
fn bad_chunks() {
    for bytes in [
        &b"3\nabc\r\n0\r\n\r\n"[..],
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n",
        b"0x3\r\nabc\r\n",
        b" 3\r\nabc\r\n",
        b"\r\n",
        b"1000000000000000\r\n",
    ] {
        let decoded = decode(BodyFraming::Chunked, bytes, 3);
        assert_eq!(decoded, Err(BodyError::Malformed), "{:?}", String::from_utf8_lossy(bytes));
    }
}

#[test]
fn truncated_bodies() {
    let mut decoder = BodyDecoder::new(BodyFraming::Length(5));
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert_eq!(decoder.end_of_input(), Err(BodyError::Truncated));
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    decoder.decode(b"3\r\nabc\r\n0\r\n", &mut Vec::new()).unwrap();
    assert_eq!(decoder.end_of_input(), Err(BodyError::Truncated));
    let mut decoder = BodyDecoder::new(BodyFraming::UntilClose);
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert_eq!(decoder.end_of_input(), Ok(()));
}

#[test]
fn answer_framing() {
    let parse =
        |text: &str, method| ResponseHead::parse(text.as_bytes(), method).map(Option::unwrap);
    let (head, _) = parse("HTTP/1.1 200 OK\r\n\r\n", "GET").unwrap();
    assert_eq!((head.framing, head.is_kept_alive), (BodyFraming::UntilClose, false));
    let (head, _) = parse("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "HEAD").unwrap();
    assert_eq!((head.framing, head.is_kept_alive), (BodyFraming::Empty, true));
    let (head, _) = parse("HTTP/1.1 204 No Content\r\n\r\n", "GET").unwrap();
    assert_eq!(head.framing, BodyFraming::Empty);
    assert!(
        parse("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "GET").is_err()
    );
    assert!(parse("garbage\r\n\r\n", "GET").is_err());
}

#[test]
fn endless_trailers() {
    // Guards against trailer fields that are read on and on.
    let mut decoder = BodyDecoder::new(BodyFraming::Chunked);
    decoder.decode(b"0\r\n", &mut Vec::new()).unwrap();
    let fields = "x: y\r\n".repeat(100);
    let mut decode = || decoder.decode(fields.as_bytes(), &mut Vec::new());
    assert_eq!((0..100).find_map(|_| decode().err()), Some(BodyError::Malformed));
}
