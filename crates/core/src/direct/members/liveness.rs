//! What changed in whom a gateway takes for living, from one look to the next.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

/// How a gateway is seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Heard of lately: callers may be sent there.
    Alive,
    /// Known, and not heard of lately.
    Suspected,
    /// Not known any more.
    Forgotten,
}

/// A gateway that is seen otherwise than at the look before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessChange {
    /// Name of its instance.
    pub name: String,
    /// Its newest heartbeat that is known; while it is the same, nothing new was heard of it.
    pub heartbeat: u64,
    /// How it is seen now.
    pub liveness: Liveness,
}

impl Display for LivenessChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let seen = match self.liveness {
            Liveness::Alive => "lives",
            Liveness::Suspected => "is silent",
            Liveness::Forgotten => "is forgotten",
        };
        write!(formatter, "{} {seen} at heartbeat {}", self.name, self.heartbeat)
    }
}

/// The look before.
#[derive(Clone, Debug, Default)]
pub(super) struct LivenessTracker {
    seen: BTreeMap<String, (u64, Liveness)>,
}

impl LivenessTracker {
    /// Takes all that are known by name, each with its heartbeat and how it is seen, and returns what
    /// changed.
    pub(super) fn update(
        &mut self,
        mut known: BTreeMap<String, (u64, Liveness)>,
    ) -> Vec<LivenessChange> {
        let mut changed = Vec::new();
        self.seen.retain(|name, (heartbeat, liveness)| {
            let (newest, seen) = known.remove(name).unwrap_or((*heartbeat, Liveness::Forgotten));
            if seen != *liveness {
                changed.push(LivenessChange {
                    name: name.clone(),
                    heartbeat: newest,
                    liveness: seen,
                });
            }
            (*heartbeat, *liveness) = (newest, seen);
            seen != Liveness::Forgotten
        });
        for (name, (heartbeat, liveness)) in known {
            changed.push(LivenessChange { name: name.clone(), heartbeat, liveness });
            self.seen.insert(name, (heartbeat, liveness));
        }
        changed
    }
}
