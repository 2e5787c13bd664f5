//! Versions of expert maps: each names one map for good.

/// Versions that belong to one fencing token: at the users a switch takes 0.6 s, so these last for
/// half a day. With tokens below 2^37 they stay whole numbers in JSON.
const EACH: u64 = 1 << 16;

/// The versions that one leader of a group has left. Those of a later leader are all higher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Versions {
    fencing_token: u64,
    /// The next one that was not given out.
    next: u64,
}

impl Versions {
    /// All versions of a leader with this fencing token.
    pub fn of_fencing_token(fencing_token: u64) -> Versions {
        Versions { fencing_token, next: fencing_token.saturating_mul(EACH) }
    }

    /// The leader's fencing token.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Gives out a version above `newest`, never one that was given out before; `None` if this leader
    /// has none left.
    pub fn allocate_above(&mut self, newest: u64) -> Option<u64> {
        let version = self.next.max(newest.saturating_add(1));
        let end = self.fencing_token.saturating_add(1).saturating_mul(EACH);
        if version >= end {
            return None;
        }
        self.next = version + 1;
        Some(version)
    }
}
