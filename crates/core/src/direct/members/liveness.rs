//! Changes in the liveness of other gateways, for the log.
//! Input is the liveness of all known gateways; the state is that of the previous call.
//! This module decides which gateways differ from the previous call.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

/// State of a gateway in the failure detector.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// A recent record of it arrived: callers may be sent there.
    Alive,
    /// Known, without a recent record.
    Suspected,
    /// Not known any more.
    Removed,
}

/// A gateway whose state differs from that of the previous call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LivenessChange {
    /// Name of its instance.
    pub name: String,
    /// Its newest known heartbeat; while it is the same, no newer record arrived.
    pub heartbeat: u64,
    /// Its state now.
    pub liveness: Liveness,
}

impl Display for LivenessChange {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let state = match self.liveness {
            Liveness::Alive => "lives",
            Liveness::Suspected => "is silent",
            Liveness::Removed => "is forgotten",
        };
        write!(formatter, "{} {state} at heartbeat {}", self.name, self.heartbeat)
    }
}

/// States at the previous call.
#[derive(Clone, Debug, Default)]
pub(super) struct LivenessTracker {
    previous: BTreeMap<String, (u64, Liveness)>,
}

impl LivenessTracker {
    /// Stores all known gateways by name, each with its heartbeat and state, and returns what
    /// changed.
    pub(super) fn update(
        &mut self,
        mut known: BTreeMap<String, (u64, Liveness)>,
    ) -> Vec<LivenessChange> {
        let mut changed = Vec::new();
        self.previous.retain(|name, (heartbeat, liveness)| {
            let (newest, state) = known.remove(name).unwrap_or((*heartbeat, Liveness::Removed));
            if state != *liveness {
                changed.push(LivenessChange {
                    name: name.clone(),
                    heartbeat: newest,
                    liveness: state,
                });
            }
            (*heartbeat, *liveness) = (newest, state);
            state != Liveness::Removed
        });
        for (name, (heartbeat, liveness)) in known {
            changed.push(LivenessChange { name: name.clone(), heartbeat, liveness });
            self.previous.insert(name, (heartbeat, liveness));
        }
        changed
    }
}
