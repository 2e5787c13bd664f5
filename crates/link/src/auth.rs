//! Proof of a shared key that opens a link, and signatures with the same keys.
//! Input: the challenge and the hello of a link, or a text to sign. State: the shared keys.
//! Decides whether a proof or a signature was made with one of the keys.
//!
//! The accepting side sends a fresh nonce. The dialling side replies with an HMAC-SHA-256 over the
//! nonce and its claims. Proofs are made with the first key and accepted with any key, so a key can
//! be rotated without downtime: append the new key to the list on all processes, then move it to
//! the front on all of them, then remove the old key.

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use hooktrestle_schema::ChallengeFrame;
use hooktrestle_schema::HelloFrame;
use sha2::Sha256;

/// Shared keys of a fleet. The first one makes proofs.
#[derive(Clone)]
pub struct Keys(Vec<Vec<u8>>);

impl std::fmt::Debug for Keys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Keys({} hidden)", self.0.len())
    }
}

impl Keys {
    /// Keys from a comma-separated list; `None` if it holds no key.
    pub fn parse(list: &str) -> Option<Keys> {
        let keys: Vec<Vec<u8>> = list
            .split(',')
            .map(str::trim)
            .filter(|key| !key.is_empty())
            .map(|key| key.as_bytes().to_vec())
            .collect();
        if keys.is_empty() { None } else { Some(Keys(keys)) }
    }

    /// The proof for a hello, in hexadecimal.
    pub fn prove(&self, challenge: &ChallengeFrame, hello: &HelloFrame) -> String {
        hex::encode(mac(&self.0[0], challenge, hello).finalize().into_bytes())
    }

    /// Whether a hello's proof was made with one of the keys; compares in constant time.
    pub fn accepts(&self, challenge: &ChallengeFrame, hello: &HelloFrame) -> bool {
        let Ok(proof) = hex::decode(&hello.proof_hex) else { return false };
        self.0.iter().any(|key| mac(key, challenge, hello).verify_slice(&proof).is_ok())
    }

    /// A tag over `text`, in hexadecimal, which shows that this fleet has signed it.
    pub fn sign(&self, text: &str) -> String {
        hex::encode(text_mac(&self.0[0], text).finalize().into_bytes())
    }

    /// Whether `tag_hex` was made by [`Keys::sign`] with one of the keys.
    pub fn verify(&self, text: &str, tag_hex: &str) -> bool {
        let Ok(tag) = hex::decode(tag_hex) else { return false };
        self.0.iter().any(|key| text_mac(key, text).verify_slice(&tag).is_ok())
    }
}

fn text_mac(key: &[u8], text: &str) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(text.as_bytes());
    mac
}

fn mac(key: &[u8], challenge: &ChallengeFrame, hello: &HelloFrame) -> Hmac<Sha256> {
    let text = format!(
        "{}|{}|{}|{}|{}|{}",
        challenge.nonce_hex,
        challenge.instance,
        challenge.incarnation,
        hello.instance,
        hello.incarnation,
        hello.link_epoch
    );
    text_mac(key, &text)
}
