//! Tells whether two requests are the same one that came again.

use xxhash_rust::xxh3::Xxh3;

/// Stands for what a request asks of a backend server, whoever passes it on and whatever its id is: a
/// hash of its path, its client account and its body, the same at all gateways.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Of the request for `path`, with its query, by an account, or by nobody, with a body.
    pub fn of(path: &str, account: Option<&str>, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3::new();
        // Lengths keep what belongs to one part from being read as the next.
        for part in [path.as_bytes(), account.unwrap_or_default().as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Fingerprint(hasher.digest())
    }
}
