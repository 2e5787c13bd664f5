//! The platform's table of gateways.
//! Input: rows of the table. State: the membership table, and the names that were listed.
//! Decides which gateway keeps the table, which rows it writes, and how many gateways there are.

use std::collections::HashSet;

use super::Entry;
use super::Member;
use super::Members;
use super::Readiness;
use crate::clock::Millis;
use crate::direct::permits::GatewayId;
use crate::util::hash;

impl Members {
    /// Applies the platform's table of gateways. A row does not prove that its gateway is alive: a
    /// gateway that is not known yet is contacted, and counts as alive once a record of it arrives.
    ///
    /// Returns the rows to remove: of gateways without a record for [`Config::unlist_after`], and of
    /// those that announced that they leave and are no longer alive. Only the preferred candidate
    /// for leadership returns any, so that one gateway of all removes them. Rows that stayed would
    /// be contacted, and waited for in the claim of leadership, for ever. The row of a gateway that
    /// is alive is written again.
    pub fn apply_table(&mut self, listed: &[Member], now: Millis) -> Vec<String> {
        let names: HashSet<&str> = listed.iter().map(|member| member.name.as_str()).collect();
        self.listed_before.retain(|name, until| *until > now && !names.contains(name.as_str()));
        let before = &self.listed_before;
        let is_listed = |entry: &Entry| {
            let name = entry.member.name.as_str();
            names.contains(name) || before.contains_key(name)
        };
        self.listed = Some(names.iter().copied().map(str::to_owned).collect());
        self.others.retain(|_, entry| entry.age_at_update.is_some() || is_listed(entry));
        for member in listed {
            if member.name != self.own.name && !self.others.contains_key(&member.name) {
                self.insert(Entry::listed(member, now));
            }
        }
        self.remove_stale_ids();
        if !self.is_preferred_candidate(now) {
            return Vec::new();
        }
        let without_record = |entry: &&Entry| {
            entry.age_at_update.is_none() && now.since(entry.updated_at) >= self.config.unlist_after
        };
        let has_left = |entry: &&Entry| {
            let is_leaving = entry.member.readiness == Readiness::Leaving;
            is_leaving && !self.is_alive(entry, now) && names.contains(entry.member.name.as_str())
        };
        let found = self.others.values();
        let found = found.filter(|entry| without_record(entry) || has_left(entry));
        found.map(|entry| entry.member.name.clone()).collect()
    }

    /// Whether this gateway keeps the platform's table of gateways: it reads the table, and writes
    /// the rows of all gateways that it knows. The table serves gateways that find no other one, so
    /// one keeper is sufficient, and calls to the store do not grow with the fleet. The keeper is the
    /// preferred candidate for leadership. A gateway that knows no other keeps the table, too, and
    /// so does the first of the serving gateways: it grants permits, and has to know how many
    /// gateways there are.
    pub fn keeps_table(&self, now: Millis) -> bool {
        let grants_permits =
            || self.serving_gateways(now).first().is_some_and(|first| first.name == self.own.name);
        self.count_alive(now) == 1 || self.is_preferred_candidate(now) || grants_permits()
    }

    /// The gateways that are alive and that the table lacked when it was read, this one included.
    /// None if this gateway is not the one that writes them.
    pub fn missing_rows(&self, now: Millis) -> Vec<Member> {
        let Some(listed) = &self.listed else { return Vec::new() };
        if !self.is_preferred_candidate(now) {
            return Vec::new();
        }
        let alive = self.alive_others(now).chain([&self.own]);
        let present = alive.filter(|member| member.readiness != Readiness::Leaving);
        present.filter(|member| !listed.contains(&member.name)).cloned().collect()
    }

    /// Records rows that were written to the table.
    pub fn record_listed(&mut self, names: impl IntoIterator<Item = String>) {
        self.listed.get_or_insert_default().extend(names);
    }

    /// Records that the store was restored from an older copy. Rows of the platform's table may be
    /// missing until their gateways have written them again, which gateways that are cut off from
    /// the store cannot do. The missing rows count for [`Config::unlist_after`], as a row would.
    pub fn begin_era(&mut self, now: Millis) {
        let until = now + self.config.unlist_after;
        let listed = self.listed.iter().flatten();
        self.listed_before.extend(listed.map(|name| (name.clone(), until)));
    }

    /// Whether the platform's table was read, and neither it nor any peer named another gateway.
    pub fn is_listed_alone(&self) -> bool {
        self.listed.is_some() && self.others.is_empty()
    }

    /// Number of gateways, alive or not, this one included: all that are known or listed, except
    /// those that announced that they leave and are no longer alive. `None` before the first gossip
    /// exchange and the first read of the platform's table.
    pub fn fleet_size(&self, now: Millis) -> Option<usize> {
        if self.listed.is_none() && self.exchanged_at.is_none() {
            return None;
        }
        let has_stopped = |name: &str| {
            let entry = self.others.get(name);
            entry.is_some_and(|entry| {
                entry.member.readiness == Readiness::Leaving && !self.is_alive(entry, now)
            })
        };
        let names = self.fleet_names(now).into_iter();
        let others = names.filter(|name| *name != self.own.name && !has_stopped(name));
        Some(1 + others.count())
    }

    /// Number of gateways that have run lately, this one included: all that are known or listed, also
    /// those that stopped, until they are removed. `None` before the first gossip exchange and the
    /// first read of the platform's table.
    pub fn recent_fleet_size(&self, now: Millis) -> Option<usize> {
        if self.listed.is_none() && self.exchanged_at.is_none() {
            return None;
        }
        let others = self.fleet_names(now).into_iter().filter(|name| *name != self.own.name);
        Some(1 + others.count())
    }

    /// All gateways that may run, this one included. `None` unless the platform's table was read and
    /// lists this gateway: the table of a fleet that is being set up lacks gateways. Those that
    /// announced that they leave are included, as their processes may run on.
    pub fn whole_fleet(&self, now: Millis) -> Option<Vec<GatewayId>> {
        self.listed.as_ref().filter(|listed| listed.contains(&self.own.name))?;
        let names = self.fleet_names(now).into_iter();
        Some(names.map(|name| GatewayId(hash::of(name))).collect())
    }

    /// Names of the gateways that are known, listed or removed recently.
    fn fleet_names(&self, now: Millis) -> HashSet<&str> {
        let listed = self.listed.iter().flatten().map(String::as_str);
        let before = self.listed_before.iter().filter(|(_, until)| **until > now);
        let listed = listed.chain(before.map(|(name, _)| name.as_str()));
        let removed = self.removed_names.iter().filter(|(_, until)| **until > now);
        let listed = listed.chain(removed.map(|(name, _)| name.as_str()));
        self.others.keys().map(String::as_str).chain(listed).collect()
    }
}
