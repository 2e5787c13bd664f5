//! Fingerprint of a request, by which a retry of the same request is recognised.
//! Input: path, client account and body of the request. It has no state.
//! Two requests with the same fingerprint are taken as the same request.

use xxhash_rust::xxh3::Xxh3;

/// Identifies what a request asks of a backend server, independent of the request's id and of the
/// gateway: a hash of its path, its client account and its body.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Fingerprint of a request for `path` (with its query), from a client account or without one,
    /// with a body.
    pub fn of(path: &str, account: Option<&str>, body: &[u8]) -> Fingerprint {
        let mut hasher = Xxh3::new();
        // The lengths keep the end of one part apart from the beginning of the next.
        for part in [path.as_bytes(), account.unwrap_or_default().as_bytes()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        Fingerprint(hasher.digest())
    }

    /// A key that also tells apart callers with the same request, as far as their headers differ:
    /// `texts` are headers that a caller sends with each retry.
    pub fn caller_key<'a>(self, texts: impl IntoIterator<Item = &'a str>) -> u64 {
        let mut hasher = Xxh3::with_seed(self.0);
        for text in texts {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.digest()
    }
}
