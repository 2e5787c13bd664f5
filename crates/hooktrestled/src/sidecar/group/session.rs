//! Session of one leader with the ranks of its group: links to their sidecars, orders and replies.
//! Input: the ranks' replies and the layout to switch to. State: the [`Leader`], links and experts.
//! Decides when orders are sent again, and when a switch that is being staged is aborted.

use std::time::Duration;

use eyre::Result;
use eyre::bail;
use eyre::ensure;
use hooktrestle_core::clock::Clock;
use hooktrestle_core::clock::Millis;
use hooktrestle_core::map_switch::Ballot;
use hooktrestle_core::map_switch::Leader;
use hooktrestle_core::map_switch::MapId;
use hooktrestle_core::map_switch::Order;
use hooktrestle_core::map_switch::Progress;
use hooktrestle_core::map_switch::wire;
use hooktrestle_core::placement::Layout;
use hooktrestle_core::placement::Rank;
use hooktrestle_link::Opened;
use hooktrestle_link::Receiver;
use hooktrestle_link::Sender;
use hooktrestle_schema::Frame;
use hooktrestle_schema::HeartbeatFrame;
use hooktrestle_schema::MapOrderFrame;
use hooktrestle_schema::MapReply;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::directory;
use crate::sidecar::group::Context;

/// Time without a reply after which pending orders are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// One rank's sidecar.
#[derive(Debug)]
struct Member {
    name: String,
    link: Option<Link>,
    link_epoch: u64,
    /// Experts of the rank: those it last reported, or those of the layout that is being staged.
    experts: Vec<u16>,
}

/// An open link and the task that reads it.
#[derive(Debug)]
struct Link {
    sender: Sender,
    reading: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.reading.abort();
    }
}

/// A leader with its links to the ranks.
#[derive(Debug)]
pub(super) struct Session {
    ballot: Ballot,
    leader: Leader,
    members: Vec<Member>,
    replies: mpsc::UnboundedReceiver<(usize, MapReply)>,
    reply_sender: mpsc::UnboundedSender<(usize, MapReply)>,
    heartbeat_version: u64,
}

impl Session {
    pub(super) fn new(context: &Context, ballot: Ballot, members: &[String]) -> Session {
        let (reply_sender, replies) = mpsc::unbounded_channel();
        let member = |name: &String| Member {
            name: name.clone(),
            link: None,
            link_epoch: 0,
            experts: Vec::new(),
        };
        let in_force = context.config.borrow().clone();
        Session {
            ballot,
            leader: Leader::new(ballot, members.len()),
            members: members.iter().map(member).collect(),
            replies,
            reply_sender,
            heartbeat_version: in_force.map_or(0, |now| now.config.version),
        }
    }

    /// Records a step that the group has reached.
    pub(super) fn observe_step(&mut self, step: u64) {
        self.leader.observe_step(step);
    }

    /// Has all ranks join, ends the switches of earlier leaders, and returns the experts on each
    /// rank.
    pub(super) async fn join(
        &mut self,
        context: &Context,
        within: Duration,
    ) -> Result<Vec<Vec<u16>>> {
        // The first pass may change the maps of the ranks, and the second only reads them.
        for _ in 0..2 {
            self.leader = Leader::new(self.ballot, self.members.len());
            self.drive(context, within).await?;
        }
        Ok(self.members.iter().map(|member| member.experts.clone()).collect())
    }

    /// Switches the group to a layout. Returns `false` if the switch was aborted and the old layout
    /// remains in use.
    pub(super) async fn switch(
        &mut self,
        context: &Context,
        layout: &Layout,
        horizon: u64,
        within: Duration,
    ) -> Result<bool> {
        for (rank, member) in self.members.iter_mut().enumerate() {
            let experts = layout.on(Rank(rank as u16));
            member.experts = experts.iter().map(|expert| expert.0).collect();
        }
        let Some(map) = self.leader.propose(horizon) else {
            bail!("cannot propose an expert map while another switch is in progress");
        };
        Ok(self.drive(context, within).await? == map)
    }

    /// Sends orders and applies replies until no switch is in progress. A map that is not staged in
    /// time is aborted; a switch that is already decided is completed.
    async fn drive(&mut self, context: &Context, within: Duration) -> Result<MapId> {
        let within = Millis::from(within);
        let mut deadline = context.clock.now() + within;
        let mut phase = None;
        loop {
            match self.leader.progress() {
                Progress::Settled(map) => return Ok(map),
                Progress::Deposed(by) => bail!("a rank has joined a later leader: {by:?}"),
                Progress::Waiting => {}
            }
            if context.clock.now() >= deadline {
                ensure!(self.leader.is_staging(), "not all ranks replied in time");
                self.leader.abort_staging();
                deadline = deadline + within;
            }
            if phase != Some(self.leader.phase_number()) {
                phase = Some(self.leader.phase_number());
                self.send_orders(context).await;
            }
            match timeout(RESEND_INTERVAL, self.replies.recv()).await {
                Ok(Some((rank, reply))) => self.apply_reply(rank, &reply),
                Ok(None) => bail!("the channel of replies is closed"),
                Err(_) => phase = None,
            }
        }
    }

    fn apply_reply(&mut self, rank: usize, reply: &MapReply) {
        if let MapReply::Joined(joined) = reply {
            self.members[rank].experts.clone_from(&joined.experts);
        }
        if let Some(reply) = wire::read_reply(reply) {
            self.leader.reply(rank, reply);
        }
    }

    async fn send_orders(&mut self, context: &Context) {
        let mut orders: Vec<(usize, Order)> = Vec::new();
        self.leader.send(|rank, order| orders.push((rank, order)));
        for (rank, order) in orders {
            let order = wire::order(order, &self.members[rank].experts);
            let frame = Frame::MapOrder(MapOrderFrame { order });
            if let Some(sender) = self.link(context, rank).await
                && sender.send(&frame, &[]).await.is_err()
            {
                self.members[rank].link = None;
            }
        }
    }

    /// The link to a rank's sidecar; opens one if there is none.
    async fn link(&mut self, context: &Context, rank: usize) -> Option<Sender> {
        let reply_sender = self.reply_sender.clone();
        let heartbeat = HeartbeatFrame { config_version: self.heartbeat_version };
        let member = &mut self.members[rank];
        if let Some(link) = &member.link
            && !link.reading.is_finished()
        {
            return Some(link.sender.clone());
        }
        let address = directory::address(&context.directory, &member.name)?;
        member.link_epoch += 1;
        let dialling =
            hooktrestle_link::dial(&context.link, &context.identity, address, member.link_epoch);
        let Opened { peer, sender, receiver } = dialling.await.ok()?;
        if peer.identity.instance != member.name {
            return None;
        }
        let reading = tokio::spawn(read(receiver, rank, reply_sender, sender.clone(), heartbeat));
        member.link = Some(Link { sender: sender.clone(), reading: reading.abort_handle() });
        Some(sender)
    }
}

/// Forwards replies until the link ends. Replies to each load report with a heartbeat, so that the
/// sidecar does not close the link as silent between plans.
async fn read(
    mut receiver: Receiver,
    rank: usize,
    reply_sender: mpsc::UnboundedSender<(usize, MapReply)>,
    sender: Sender,
    heartbeat: HeartbeatFrame,
) {
    while let Ok((frame, _)) = receiver.next().await {
        let is_open = match frame {
            Frame::MapReply(frame) => reply_sender.send((rank, frame.reply)).is_ok(),
            Frame::Load(_) => sender.send(&Frame::Heartbeat(heartbeat.clone()), &[]).await.is_ok(),
            _ => true,
        };
        if !is_open {
            return;
        }
    }
}
