//! Seals tickets and cursors with an HMAC, so that altered ones are refused.

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The HMAC is truncated to this length.
const TAG_BYTES: usize = 16;

/// The deployment's secret for seals, and the nonce of the run that uses it.
#[derive(Clone)]
pub struct SealKey {
    secret: Vec<u8>,
    run_nonce: u64,
}

impl SealKey {
    /// A key for a run whose nonce is zero.
    pub fn new(key: &str) -> Self {
        Self::for_run(key, 0)
    }

    /// A key for a run with a random nonce.
    pub fn for_run(key: &str, run_nonce: u64) -> Self {
        Self { secret: key.as_bytes().to_vec(), run_nonce }
    }

    /// Random number of the run, which its tickets carry.
    pub fn run_nonce(&self) -> u64 {
        self.run_nonce
    }

    /// `body`, then `~` and its HMAC. A text that was sealed for one purpose can't be unsealed for
    /// another.
    pub fn seal(&self, purpose: &str, body: &str) -> String {
        format!("{body}~{}", URL_SAFE_NO_PAD.encode(self.tag(purpose, body)))
    }

    /// The body of a sealed text; `None` if it was altered.
    pub fn unseal<'a>(&self, purpose: &str, sealed: &'a str) -> Option<&'a str> {
        let (body, tag) = sealed.rsplit_once('~')?;
        let tag = URL_SAFE_NO_PAD.decode(tag).ok()?;
        if tag.len() != TAG_BYTES {
            return None;
        }
        self.mac(purpose, body).verify_truncated_left(&tag).ok().map(|()| body)
    }

    fn tag(&self, purpose: &str, body: &str) -> Vec<u8> {
        let tag = self.mac(purpose, body).finalize().into_bytes();
        tag[..TAG_BYTES].to_vec()
    }

    fn mac(&self, purpose: &str, body: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.secret).expect("any key length is allowed");
        mac.update(purpose.as_bytes());
        mac.update(b"\0");
        mac.update(body.as_bytes());
        mac
    }
}
