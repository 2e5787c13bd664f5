//! The gateway's end of a link to one sidecar. Its input is the instance list and the frames of the
//! sidecar; its state is the open link and the requests registered on it. It decides when to dial
//! again, and routes each frame to the request that the frame names.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hooktrestle_clock::ProcessClock;
use hooktrestle_core::util::arena::Key;
use hooktrestle_link::Identity;
use hooktrestle_link::Receiver;
use hooktrestle_link::Sender;
use hooktrestle_schema::Frame;
use hooktrestle_schema::HeartbeatFrame;
use hooktrestle_schema::RequestId;
use spdlog::info;
use spdlog::warn;
use tokio::sync::mpsc;
use xtra::WeakAddress;

use crate::config_exchange::ConfigExchange;
use crate::config_sync;
use crate::config_sync::ConfigSync;
use crate::directory;
use crate::gateway::router::LinkDown;
use crate::gateway::router::LinkUp;
use crate::gateway::router::Load;
use crate::gateway::router::Router;
use crate::gateway::router::Server;
use crate::poll::jittered;

/// First wait before a lost link is dialled again. It doubles up to [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum wait before a lost link is dialled again.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Configuration and shared state of all links.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    pub(crate) link: hooktrestle_link::Config,
    pub(crate) identity: Identity,
    pub(crate) data_centre: String,
    pub(crate) directory: directory::Watch,
    pub(crate) config: config_sync::Watch,
    pub(crate) sync_task: xtra::Address<ConfigSync>,
    pub(crate) heartbeat_interval: Duration,
    pub(crate) clock: ProcessClock,
}

/// Event of a link, for a request registered on it.
#[derive(Debug)]
#[allow(clippy::large_enum_variant, reason = "a box would cost an allocation for each token")]
pub(crate) enum Event {
    /// A frame, with its payload.
    Frame(Frame, Bytes),
    /// The link is lost. This is the last event.
    Lost,
}

type Pending = Arc<Mutex<Option<HashMap<u64, mpsc::UnboundedSender<Event>>>>>;

/// An open link. Clones refer to the same link.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    /// Sender of frames on the link.
    pub(crate) sender: Sender,
    /// The sidecar's instance.
    pub(crate) sidecar: Arc<str>,
    /// The sidecar's incarnation.
    pub(crate) incarnation: u64,
    /// Number of the link among those to this sidecar. Later links have higher numbers.
    pub(crate) epoch: u64,
    /// Requests that wait for frames, by number; `None` once the link is lost.
    pending: Pending,
}

impl Handle {
    /// Registers a request for the frames that name it; `None` if the link is lost.
    ///
    /// The channel has no bound of its own: the credit that the request grants bounds its memory.
    pub(crate) fn register(&self, number: u64) -> Option<mpsc::UnboundedReceiver<Event>> {
        let (events, receiver) = mpsc::unbounded_channel();
        lock(&self.pending).as_mut()?.insert(number, events);
        Some(receiver)
    }

    /// Removes a request that [`Handle::register`] added.
    pub(crate) fn deregister(&self, number: u64) {
        if let Some(pending) = lock(&self.pending).as_mut() {
            pending.remove(&number);
        }
    }

    fn deliver(&self, number: u64, event: Event) {
        if let Some(pending) = lock(&self.pending).as_ref()
            && let Some(events) = pending.get(&number)
        {
            // An error means that the request has ended.
            let _ = events.send(event);
        }
    }

    fn mark_lost(&self) {
        let pending = lock(&self.pending).take().unwrap_or_default();
        for events in pending.into_values() {
            let _ = events.send(Event::Lost);
        }
    }
}

fn lock(pending: &Pending) -> MutexGuard<'_, Option<HashMap<u64, mpsc::UnboundedSender<Event>>>> {
    pending.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps a link to the sidecar `name` open until the router ends. Dials again after a loss.
pub(crate) async fn maintain(
    context: Context,
    router: WeakAddress<Router>,
    server: Key<Server>,
    name: String,
) {
    let mut epoch = 0;
    let mut backoff = INITIAL_BACKOFF;
    while router.is_connected() {
        epoch += 1;
        let opened = match directory::address(&context.directory, &name) {
            Some(address) => {
                hooktrestle_link::dial(&context.link, &context.identity, address, epoch).await
            }
            None => {
                wait_before_redial(&context, backoff).await;
                continue;
            }
        };
        match opened {
            Ok(opened) if opened.peer.identity.instance == name => {
                backoff = INITIAL_BACKOFF;
                serve(&context, &router, server, opened).await;
            }
            Ok(opened) => {
                let found = opened.peer.identity.instance;
                warn!("link refused: another instance replied at the address", kv: { wanted: = name.as_str(), found: = found.as_str() });
            }
            Err(error) => {
                warn!("cannot open a link", kv: { sidecar: = name.as_str(), error: = error.to_string().as_str() });
            }
        }
        wait_before_redial(&context, backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Waits for the backoff, or until the instance list changes.
async fn wait_before_redial(context: &Context, backoff: Duration) {
    let mut directory = context.directory.clone();
    directory.mark_unchanged();
    // The link is dialled again in both cases.
    let _ = tokio::time::timeout(jittered(backoff), directory.changed()).await;
}

async fn serve(
    context: &Context,
    router: &WeakAddress<Router>,
    server: Key<Server>,
    opened: hooktrestle_link::Opened,
) {
    let hooktrestle_link::Opened { peer, sender, mut receiver } = opened;
    let handle = Handle {
        sender: sender.clone(),
        sidecar: peer.identity.instance.as_str().into(),
        incarnation: peer.identity.incarnation,
        epoch: peer.link_epoch,
        pending: Arc::new(Mutex::new(Some(HashMap::new()))),
    };
    info!("link open", kv: { sidecar: = peer.identity.instance.as_str() });
    let heartbeats = tokio::spawn(send_heartbeats(context.clone(), sender));
    let reason = tokio::select! {
        error = read(context, router, server, &handle, &mut receiver) => error.to_string(),
        () = router.join() => "the gateway has ended".to_owned(),
    };
    heartbeats.abort();
    handle.mark_lost();
    if let Some(router) = router.try_upgrade() {
        // An error means that the router has ended; it chooses no server any more.
        let _ = router.send(LinkDown { server, epoch: handle.epoch }).await;
    }
    info!("link lost", kv: { sidecar: = peer.identity.instance.as_str(), reason: = reason.as_str() });
}

async fn send_heartbeats(context: Context, sender: Sender) {
    loop {
        let version = config_sync::version(&context.config).unwrap_or(0);
        let heartbeat_frame = Frame::Heartbeat(HeartbeatFrame { config_version: version });
        if sender.send(&heartbeat_frame, &[]).await.is_err() {
            return;
        }
        tokio::time::sleep(context.heartbeat_interval).await;
    }
}

/// Reads frames until the link ends, and returns the reason. The router uses the link from the
/// first load report on, since that report confirms that the sidecar has accepted the link.
async fn read(
    context: &Context,
    router: &WeakAddress<Router>,
    server: Key<Server>,
    handle: &Handle,
    receiver: &mut Receiver,
) -> hooktrestle_link::Error {
    let mut reported = false;
    let sender = handle.sender.clone();
    let mut exchange =
        ConfigExchange::new(context.config.clone(), context.sync_task.clone(), sender);
    loop {
        let (frame, payload) = match receiver.next().await {
            Ok(message) => message,
            Err(error) => return error,
        };
        if let Frame::Load(load) = frame {
            exchange.request_if_newer(load.config_version).await;
            // An error means that the router has ended.
            if let Some(router) = router.try_upgrade() {
                if !reported {
                    let _ = router.send(LinkUp { server, handle: handle.clone() }).await;
                    reported = true;
                }
                let _ = router.send(Load { server, load }).await;
            }
            continue;
        }
        match &frame {
            Frame::ConfigAsk(ask) => exchange.send_snapshot(ask).await,
            Frame::ConfigPart(part) => exchange.add_part(part, &payload).await,
            _ => {}
        }
        if let Some(id) = id_of(&frame) {
            let number = id.number;
            handle.deliver(number, Event::Frame(frame, payload));
        }
    }
}

fn id_of(frame: &Frame) -> Option<&RequestId> {
    match frame {
        Frame::Head(frame) => Some(&frame.id),
        Frame::Body(frame) => Some(&frame.id),
        Frame::Refused(frame) => Some(&frame.id),
        Frame::Settled(frame) => Some(&frame.id),
        Frame::Credit(frame) => Some(&frame.id),
        _ => None,
    }
}
