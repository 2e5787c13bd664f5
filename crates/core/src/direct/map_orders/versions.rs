//! Versions of expert maps: each names one map for good.

/// Versions that belong to one fencing token: at the users a switch takes 0.6 s, so these last for
/// half a day. With tokens below 2^37 they stay whole numbers in JSON.
const EACH: u64 = 1 << 16;

/// The versions that one leader of a group has left. Those of a later leader are all higher.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Versions {
    fence: u64,
    /// The next one that was not given out.
    next: u64,
}

impl Versions {
    /// All versions of a leader with this fencing token.
    pub fn of_fence(fence: u64) -> Versions {
        Versions { fence, next: fence.saturating_mul(EACH) }
    }

    /// The leader's fencing token.
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Gives out a version above `newest`, never one that was given out before; `None` if this leader
    /// has none left.
    pub fn take_above(&mut self, newest: u64) -> Option<u64> {
        let version = self.next.max(newest.saturating_add(1));
        let end = self.fence.saturating_add(1).saturating_mul(EACH);
        if version >= end {
            return None;
        }
        self.next = version + 1;
        Some(version)
    }
}
