//! The rooms of the services of a gateway: its own view of each, and the state of their keeper.
//! Input: reports of gateways and ranks, notices. State: one view and one keeper for each service.
//! It decides which notices are applied, and what is logged about the level.

use std::cell::RefCell;
use std::collections::HashMap;

use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::direct::members::IncarnationId;
use hooktrestle_core::direct::pool::Position;
use hooktrestle_core::direct::room;
use hooktrestle_core::direct::room::GatewayReport;
use hooktrestle_core::direct::room::RoomNotice;
use hooktrestle_core::direct::room::groups::RankReading;
use hooktrestle_core::direct::room::keeper::KeeperInput;
use hooktrestle_core::direct::room::keeper::LevelChange;
use hooktrestle_core::direct::room::keeper::RoomKeeper;
use hooktrestle_core::direct::room::view::RoomView;

use crate::gateway::Gateway;
use crate::gateway::by_service::ByService;
use crate::platform::Platform;

/// Views and keepers of the rooms of all services.
#[derive(Default)]
pub(super) struct Rooms {
    views: ByService<RoomView>,
    keepers: ByService<RoomKeeper>,
    /// Keepers that did not answer, with the time until which each is skipped.
    skipped: RefCell<HashMap<IncarnationId, Millis>>,
}

impl<P: Platform> Gateway<P> {
    /// Calls `act` with this gateway's view of a service's room.
    pub fn with_room_view<T>(&self, service: &str, act: impl FnOnce(&mut RoomView) -> T) -> T {
        self.rooms.views.with(service, RoomView::default, act)
    }

    fn with_room_keeper<T>(&self, service: &str, act: impl FnOnce(&mut RoomKeeper) -> T) -> T {
        // Higher than the numbers of an earlier process, which counted from its own start.
        let number = || self.with_members(|members| members.own().incarnation);
        self.rooms.keepers.with(service, || RoomKeeper::new(number()), act)
    }

    /// Records the reports of a service's ranks, which this gateway read as the leader of its maps.
    pub(crate) fn record_rank_readings(&self, service: &str, readings: &[RankReading]) {
        let now = self.now();
        self.with_room_keeper(service, |keeper| keeper.record_readings(readings, now));
    }

    /// Whether this gateway keeps the room of a service, and more than half of it is taken.
    pub(crate) fn is_room_busy(&self, service: &str) -> bool {
        let now = self.now();
        self.with_room_keeper(service, |keeper| keeper.is_busy(now))
    }

    /// Skips a gateway as keeper until a time.
    pub(crate) fn skip_room_keeper(&self, gateway: IncarnationId, until: Millis) {
        self.rooms.skipped.borrow_mut().insert(gateway, until);
    }

    /// Gateways that are skipped as keepers now.
    pub(crate) fn is_room_keeper_skipped(&self, gateway: IncarnationId, now: Millis) -> bool {
        let mut skipped = self.rooms.skipped.borrow_mut();
        skipped.retain(|_, until| *until > now);
        skipped.contains_key(&gateway)
    }

    /// Takes this gateway's report on a service.
    pub(crate) fn take_room_report(&self, service: &str) -> GatewayReport {
        let now = self.now();
        let own = self.with_members(|members| members.own().incarnation_id());
        let streams = self.admission_queue(service).summary();
        self.with_room_view(service, |view| view.take_report(own, &streams, now))
    }

    /// Records a report of this or another gateway, and returns the notice for it; `None` for a
    /// service whose streams have no objective.
    pub(crate) fn record_room_report(
        &self,
        service: &str,
        report: GatewayReport,
    ) -> Option<RoomNotice> {
        let now = self.now();
        let serving = self.serving();
        let objective = *serving.stream_objectives.get(service)?;
        let has_experts = serving.services.get(service).is_some_and(|one| one.experts.is_some());
        let known_list = report.known_list;
        self.with_room_keeper(service, |keeper| keeper.record_report(report, now));
        if self.with_room_keeper(service, |keeper| keeper.is_update_due(now)) {
            let open_servers = self.with_pool(|pool| pool.open_slots(service, now));
            let token = self.with_members(|members| members.own().leader_fencing_token);
            let input = KeeperInput {
                fencing_token: if has_experts { token } else { 0 },
                clock: self.with_room_view(service, |view| view.shared_clock(now)),
                open_servers: &open_servers,
                gateways: self.count_sharing(now),
                objective,
            };
            let change = self.with_room_keeper(service, |keeper| keeper.update(&input, now));
            self.record_room(service, change);
        }
        self.with_room_keeper(service, |keeper| keeper.notice(known_list, now))
    }

    /// Logs a change of the level.
    fn record_room(&self, service: &str, change: Option<LevelChange>) {
        let room = self.with_room_keeper(service, |keeper| keeper.room());
        self.metrics.record_room(service, room.streams, room.open);
        let Some(change) = change else { return };
        let verb = match change {
            LevelChange::Closed => "refuses a part of the requests",
            LevelChange::Opened => "admits all requests",
        };
        let (streams, open) = (room.streams.round(), room.open.round());
        self.event_log
            .state(format_args!("{service} {verb}: {open} streams open, room for {streams}"));
    }

    /// Applies a notice of the keeper: the level to new requests, and the occupation of servers to
    /// the choice among them.
    pub(crate) fn apply_room_notice(&self, service: &str, notice: &RoomNotice) {
        let now = self.now();
        let lifetime = room::notice_lifetime(self.count_sharing(now));
        self.with_room_view(service, |view| {
            if !view.apply(notice, lifetime, now) {
                return;
            }
            self.metrics.record_admitted(service, &notice.level.admitted);
            let Some(list) = view.list_of(notice) else { return };
            let RoomNotice { occupied, groups, age, .. } = notice;
            let position = self.position(now);
            self.with_pool(|pool| {
                pool.set_position(position);
                pool.apply_occupancy(service, list, occupied, groups, *age, now);
            });
        });
    }

    /// This gateway's position among those that serve; `None` if it is not one of them.
    fn position(&self, now: Millis) -> Option<Position> {
        self.with_members(|members| {
            let serving = members.serving_gateways(now);
            let own = members.own().incarnation_id();
            let index = serving.iter().position(|member| member.incarnation_id() == own)?;
            Some(Position { index, count: serving.len() })
        })
    }

    /// Time until this gateway's next report on a service.
    pub(crate) fn room_report_interval(&self, service: &str) -> Millis {
        let now = self.clock.now();
        let open = self.admission_queue(service).summary().open;
        let is_active = self.with_room_view(service, |view| view.is_active(open, now));
        room::report_interval(self.count_sharing(now), is_active)
    }
}
