//! Fingerprints of a request: of the whole, by which a retry of it is recognised, and of the parts of
//! its prompt, which requests share. Input: path, client account, body, service and the ids of the
//! parts. It has no state. Two requests with the same fingerprint of the whole are taken as the same
//! request, and two parts with the same fingerprint as the same part.

use smallvec::SmallVec;
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of parts of one prompt that have fingerprints, the first ones: it bounds the memory
/// of requests with prompts of any length.
const MAX_PARTS: usize = 64;

/// Set in fingerprints of parts only, so that both kinds are told apart wherever they are exchanged.
const PART_BIT: u64 = 1 << 63;

/// What a fingerprint identifies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FingerprintKind {
    /// A whole request.
    Request,
    /// A part of the prompts of requests, whatever else they hold.
    Part,
}

/// Identifies what a request asks of a backend server, independent of the request's id and of the
/// gateway: a hash of its path, its client account and its body. Or identifies a part of a prompt: a
/// hash of the service and the part's id.
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
        Fingerprint(hasher.digest() & !PART_BIT)
    }

    /// Fingerprint of the part with this id in the prompts of a service.
    pub fn of_part(service: &str, id: &str) -> Fingerprint {
        let mut hasher = Xxh3::new();
        hasher.update(&(service.len() as u64).to_le_bytes());
        hasher.update(service.as_bytes());
        hasher.update(id.as_bytes());
        Fingerprint(hasher.digest() | PART_BIT)
    }

    /// What it identifies.
    pub fn kind(self) -> FingerprintKind {
        if self.0 & PART_BIT == 0 { FingerprintKind::Request } else { FingerprintKind::Part }
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

/// All fingerprints of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fingerprints {
    /// Of the whole.
    pub whole: Fingerprint,
    /// Of the parts of its prompt that other requests may share, in their order.
    pub parts: SmallVec<[Fingerprint; 4]>,
}

impl Fingerprints {
    /// The fingerprints of a request to a service whose prompt has parts with these ids. The last
    /// part is the request's own.
    pub fn new<'a>(
        whole: Fingerprint,
        service: &str,
        part_ids: impl IntoIterator<Item = &'a str>,
    ) -> Fingerprints {
        let ids: SmallVec<[&str; MAX_PARTS]> = part_ids.into_iter().take(MAX_PARTS + 1).collect();
        let shared = ids.split_last().map_or(&[][..], |(_, shared)| shared);
        let parts = shared.iter().map(|id| Fingerprint::of_part(service, id)).collect();
        Fingerprints { whole, parts }
    }

    /// All of them, that of the whole first.
    pub fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.whole).chain(self.parts.iter().copied())
    }
}
