//! What changed in whom a gateway takes for living, from one look to the next.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;
use std::fmt::Result;

/// How a gateway is seen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sight {
    /// Heard of lately: callers may be sent there.
    Living,
    /// Known, and not heard of lately.
    Silent,
    /// Not known any more.
    Forgotten,
}

/// A gateway that is seen otherwise than at the look before.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Name of its instance.
    pub name: String,
    /// Its newest heartbeat that is known; while it is the same, nothing new was heard of it.
    pub heartbeat: u64,
    /// How it is seen now.
    pub sight: Sight,
}

impl Display for Sighting {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        let seen = match self.sight {
            Sight::Living => "lives",
            Sight::Silent => "is silent",
            Sight::Forgotten => "is forgotten",
        };
        write!(formatter, "{} {seen} at heartbeat {}", self.name, self.heartbeat)
    }
}

/// The look before.
#[derive(Clone, Debug, Default)]
pub(super) struct Sightings {
    seen: BTreeMap<String, (u64, Sight)>,
}

impl Sightings {
    /// Takes all that are known by name, each with its heartbeat and how it is seen, and returns what
    /// changed.
    pub(super) fn look(&mut self, mut known: BTreeMap<String, (u64, Sight)>) -> Vec<Sighting> {
        let mut changed = Vec::new();
        self.seen.retain(|name, (heartbeat, sight)| {
            let (newest, seen) = known.remove(name).unwrap_or((*heartbeat, Sight::Forgotten));
            if seen != *sight {
                changed.push(Sighting { name: name.clone(), heartbeat: newest, sight: seen });
            }
            (*heartbeat, *sight) = (newest, seen);
            seen != Sight::Forgotten
        });
        for (name, (heartbeat, sight)) in known {
            changed.push(Sighting { name: name.clone(), heartbeat, sight });
            self.seen.insert(name, (heartbeat, sight));
        }
        changed
    }
}
