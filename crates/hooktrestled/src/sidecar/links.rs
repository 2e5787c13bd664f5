//! Accept loop for links from gateways and leaders, with one reader for each link.
//! Input: TCP connections and the frames on them. State: the open requests of each link.
//! Passes requests to the [`DispatchActor`], and orders for expert maps to the local rank.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hooktrestle_core::dispatch::Link;
use hooktrestle_core::id::RequestId;
use hooktrestle_link::Identity;
use hooktrestle_link::Opened;
use hooktrestle_link::Receiver;
use hooktrestle_link::Sender;
use hooktrestle_schema::Frame;
use hooktrestle_schema::MapOrder;
use hooktrestle_schema::MapReply;
use hooktrestle_schema::MapReplyFrame;
use hooktrestle_schema::RequestFrame;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use xtra::Address;

use crate::config_exchange::ConfigExchange;
use crate::config_sync;
use crate::config_sync::ConfigSync;
use crate::sidecar::dispatch_actor;
use crate::sidecar::dispatch_actor::DispatchActor;
use crate::sidecar::run::Backend;
use crate::sidecar::run::BodyChunk;
use crate::sidecar::run::Job;

/// Maximum number of connections whose peer is not authenticated yet; others wait to be accepted.
const MAX_UNAUTHENTICATED: usize = 64;

/// Context that all links share.
#[derive(Clone, Debug)]
pub(super) struct Context {
    pub(super) link: hooktrestle_link::Config,
    pub(super) identity: Identity,
    pub(super) actor: Address<DispatchActor>,
    pub(super) sync_task: Address<ConfigSync>,
    pub(super) config: config_sync::Watch,
    pub(super) heartbeat_interval: Duration,
    pub(super) backend: Backend,
}

/// State of a request that the reader of a link has passed to the actor.
#[derive(Debug)]
struct OpenRequest {
    body: mpsc::UnboundedSender<BodyChunk>,
    credit: Arc<Semaphore>,
}

/// Accepts links until the task is aborted.
pub(super) async fn accept_all(listener: TcpListener, context: Context) {
    let unauthenticated = Arc::new(Semaphore::new(MAX_UNAUTHENTICATED));
    loop {
        let Ok(permit) = Arc::clone(&unauthenticated).acquire_owned().await else { return };
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("cannot accept a connection", kv: { error: = error.to_string().as_str() });
                continue;
            }
        };
        let context = context.clone();
        tokio::spawn(async move {
            let opened = open(&context, stream).await;
            drop(permit);
            if let Some((opened, link)) = opened {
                serve(&context, opened, link).await;
            }
        });
    }
}

async fn open(context: &Context, stream: TcpStream) -> Option<(Opened, Link)> {
    let opened = match hooktrestle_link::accept(&context.link, &context.identity, stream).await {
        Ok(opened) => opened,
        Err(error) => {
            warn!("link refused", kv: { error: = error.to_string().as_str() });
            return None;
        }
    };
    let peer = opened.peer.clone();
    let link = context.actor.send(dispatch_actor::LinkOpened(peer)).await.ok().flatten()?;
    Some((opened, link))
}

async fn serve(context: &Context, opened: Opened, link: Link) {
    let Opened { peer, sender, mut receiver } = opened;
    let gateway = peer.identity.instance;
    info!("link open", kv: { gateway: = gateway.as_str() });
    let load_reports = tokio::spawn(send_load_reports(context.clone(), sender.clone()));
    let reason = tokio::select! {
        error = read(context, &mut receiver, &sender, link) => error.to_string(),
        () = context.actor.join() => "the sidecar has ended".to_owned(),
    };
    load_reports.abort();
    info!("link closed", kv: { gateway: = gateway.as_str(), reason: = reason.as_str() });
    // An actor that has stopped has no requests of this link.
    let _ = context.actor.send(dispatch_actor::LinkEnded(link)).await;
}

/// Sends a load report at once, and then one at each heartbeat interval.
async fn send_load_reports(context: Context, sender: Sender) {
    while let Ok(load) = context.actor.send(dispatch_actor::ReadLoad).await {
        if sender.send(&Frame::Load(load), &[]).await.is_err() {
            return;
        }
        tokio::time::sleep(context.heartbeat_interval).await;
    }
}

/// Reads frames until the link ends, and returns the reason.
async fn read(
    context: &Context,
    receiver: &mut Receiver,
    sender: &Sender,
    link: Link,
) -> hooktrestle_link::Error {
    let mut open: HashMap<RequestId, OpenRequest> = HashMap::new();
    let mut exchange =
        ConfigExchange::new(context.config.clone(), context.sync_task.clone(), sender.clone());
    loop {
        let (frame, payload) = match receiver.next().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        open.retain(|_, open| Arc::strong_count(&open.credit) > 1);
        match frame {
            Frame::Request(frame) => {
                let id = RequestId::from(&frame.id);
                let (job, open_request) = job(frame, sender);
                open.insert(id, open_request);
                send(context, dispatch_actor::Arrive { link, job }).await;
            }
            Frame::Body(body) => {
                if let Some(open) = open.get(&RequestId::from(&body.id)) {
                    // A run that has ended does not read the rest of its body.
                    let _ = open.body.send(BodyChunk { bytes: payload, last: body.last });
                }
            }
            Frame::Credit(credit) => {
                if let Some(open) = open.get(&RequestId::from(&credit.id)) {
                    add_credit(&open.credit, credit.more_bytes);
                }
            }
            Frame::Cancel(frame) => {
                let id = RequestId::from(&frame.id);
                open.remove(&id);
                send(context, dispatch_actor::Cancel(link, id)).await;
            }
            Frame::Settle(frame) => {
                let id = RequestId::from(&frame.id);
                let sender = sender.clone();
                send(context, dispatch_actor::Settle { link, id, ticket: frame.ticket, sender })
                    .await;
            }
            Frame::Ack(frame) => {
                send(context, dispatch_actor::Acknowledge(link, RequestId::from(&frame.id))).await;
            }
            Frame::Heartbeat(heartbeat) => {
                exchange.request_if_newer(heartbeat.config_version).await
            }
            Frame::MapOrder(frame) => forward_order(context, sender, frame.order),
            Frame::ConfigAsk(ask) => exchange.send_snapshot(&ask).await,
            Frame::ConfigPart(part) => exchange.add_part(&part, &payload).await,
            _ => {}
        }
    }
}

/// Forwards an order to the rank in a separate task, so that a stalled rank does not block the
/// link.
///
/// A server that does not keep its fence gets no orders yet: after a restart, its sidecar could not
/// distinguish outdated orders from current ones.
fn forward_order(context: &Context, sender: &Sender, order: MapOrder) {
    let own = &context.identity.instance;
    let keeps_fence = context.config.borrow().as_ref().is_some_and(|in_force| {
        let server = in_force.config.server(own);
        server.is_some_and(|server| in_force.config.servers[server].row.keeps_fence)
    });
    let (backend, sender) = (context.backend.clone(), sender.clone());
    tokio::spawn(async move {
        let reply = if keeps_fence { backend.order(&order).await } else { MapReply::Silent };
        // A leader whose link is lost sends the order again over the next link.
        let _ = sender.send(&Frame::MapReply(MapReplyFrame { reply }), &[]).await;
    });
}

fn job(frame: RequestFrame, sender: &Sender) -> (Job, OpenRequest) {
    let (body, chunks) = mpsc::unbounded_channel();
    let credit = Arc::new(Semaphore::new(0));
    add_credit(&credit, frame.credit_bytes);
    let open_request = OpenRequest { body, credit: Arc::clone(&credit) };
    (Job { frame, sender: sender.clone(), body: Some(chunks), credit }, open_request)
}

/// Adds credit, bounded by the capacity of a semaphore, so that a peer cannot cause a panic.
fn add_credit(credit: &Semaphore, more_bytes: u64) {
    let max_additional = Semaphore::MAX_PERMITS - credit.available_permits();
    let more = usize::try_from(more_bytes).unwrap_or(usize::MAX).min(max_additional / 2);
    credit.add_permits(more);
}

async fn send<M: Send + 'static>(context: &Context, message: M)
where
    DispatchActor: xtra::Handler<M, Return = ()>,
{
    // An actor that has stopped closes its links, which ends the reader.
    let _ = context.actor.send(message).await;
}
