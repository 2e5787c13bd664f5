//! Allocator of expert map versions: each version names one map permanently.
//! Input: a leader's fencing token and the newest version in use. State: the next free version.
//! It decides the version of the next map, or that the leader's token has no version left.

/// Versions that belong to one fencing token. A switch takes 0.6 s, so they last for half a day.
/// With tokens below 2^37, versions stay below 2^53 and so are exact as JSON numbers.
const VERSIONS_PER_TOKEN: u64 = 1 << 16;

/// The versions that one leader of a group has left. All versions of a later leader are higher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Versions {
    fencing_token: u64,
    /// The lowest version that is not allocated.
    next: u64,
}

impl Versions {
    /// All versions of a leader with this fencing token.
    pub fn of_fencing_token(fencing_token: u64) -> Versions {
        Versions { fencing_token, next: fencing_token.saturating_mul(VERSIONS_PER_TOKEN) }
    }

    /// The leader's fencing token.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Allocates a version above `newest`, never the same version twice; `None` if this leader has
    /// none left.
    pub fn allocate_above(&mut self, newest: u64) -> Option<u64> {
        let version = self.next.max(newest.saturating_add(1));
        let end = self.fencing_token.saturating_add(1).saturating_mul(VERSIONS_PER_TOKEN);
        if version >= end {
            return None;
        }
        self.next = version + 1;
        Some(version)
    }
}
