//! Links to peers: one thread for each link out, one for each link in.
//!
//! A message goes into a bounded ring and is dropped where the ring is full: everything sent
//! here is repeated or asked for again, so a slow peer holds nobody up.

use crate::common::*;
use crate::decide::member::Name;
use crate::decide::retry::backoff;
use crate::error::ListenSnafu;
use crate::node::duty::{self, lock};
use crate::node::metrics::Metrics;
use crate::wire::generated::{Hello, Message};
use crate::wire::key::Ring;
use crate::wire::link;
use snafu::ResultExt;
use std::net::{TcpListener, TcpStream};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Messages that wait for one peer.
const RING: usize = 256;
/// Links in at one time.
const MOST_LINKS: usize = 4096;
const CONNECT: Duration = Duration::from_secs(1);
const RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_secs(2);

/// A message that came from a peer.
#[derive(Debug)]
pub struct Inbound {
    pub from: Name,
    pub message: Message,
}

/// The links of this process.
#[derive(Debug)]
pub struct Mesh {
    me: Hello,
    address: SocketAddr,
    keys: Ring,
    metrics: Arc<Metrics>,
    links: Mutex<BTreeMap<SocketAddr, flume::Sender<Arc<Message>>>>,
    links_in: Arc<AtomicUsize>,
}

impl Mesh {
    /// Listens for links at an address; what comes in goes to `inbound`.
    ///
    /// # Errors
    /// [`Error::Listen`] where the address is taken.
    pub fn start(
        me: Hello,
        address: SocketAddr,
        keys: Ring,
        metrics: Arc<Metrics>,
        inbound: flume::Sender<Inbound>,
    ) -> Result<Arc<Self>> {
        let listener = TcpListener::bind(address)
            .map_err(Into::into)
            .context(ListenSnafu { address })?;
        let mesh = Arc::new(Self {
            me,
            address,
            keys,
            metrics,
            links: Mutex::default(),
            links_in: Arc::default(),
        });
        let accepting = Arc::clone(&mesh);
        duty::start("mesh", move || accepting.accept(&listener, &inbound));
        Ok(mesh)
    }

    fn accept(self: Arc<Self>, listener: &TcpListener, inbound: &flume::Sender<Inbound>) {
        for stream in listener.incoming() {
            let Ok(stream) = stream else {
                std::thread::sleep(RETRY);
                continue;
            };
            if self.links_in.fetch_add(1, Ordering::Relaxed) >= MOST_LINKS {
                self.links_in.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let mesh = Arc::clone(&self);
            let inbound = inbound.clone();
            duty::start("mesh", move || {
                if let Err(error) = mesh.receive(&stream, &inbound) {
                    log::debug!(error:% = error; "link in ended");
                    mesh.metrics.decided("link_in", "ended");
                }
                mesh.links_in.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    fn receive(&self, stream: &TcpStream, inbound: &flume::Sender<Inbound>) -> Result<()> {
        let mut link = link::accept(stream, &self.me, &self.keys)?;
        let from = name(&link.hello)?;
        while let Some(message) = link.receive()? {
            let inbound_message = Inbound {
                from: from.clone(),
                message,
            };
            if inbound.send(inbound_message).is_err() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Keeps a link to a peer from now on.
    pub fn add(self: &Arc<Self>, peer: SocketAddr) {
        if peer == self.address {
            return;
        }
        let mut links = lock(&self.links);
        if links.contains_key(&peer) {
            return;
        }
        let (ring, waiting) = flume::bounded(RING);
        links.insert(peer, ring);
        let mesh = Arc::clone(self);
        duty::start("mesh", move || mesh.keep(peer, &waiting));
    }

    /// Gives up the link to a peer.
    pub fn remove(&self, peer: SocketAddr) {
        lock(&self.links).remove(&peer);
    }

    /// Addresses that this process keeps links to.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        lock(&self.links).keys().copied().collect()
    }

    fn keep(&self, peer: SocketAddr, waiting: &flume::Receiver<Arc<Message>>) {
        let mut tries = 0;
        while !waiting.is_disconnected() || !waiting.is_empty() {
            match self.open(peer) {
                Ok(mut link) => {
                    tries = 0;
                    self.forward(&mut link, waiting);
                }
                Err(error) => log::debug!(peer:% = peer, error:% = error; "no link"),
            }
            let jitter = rand::random();
            std::thread::sleep(backoff(RETRY, tries, LONGEST_RETRY, jitter));
            tries += 1;
            waiting.drain();
        }
    }

    fn open(&self, peer: SocketAddr) -> Result<link::Sender> {
        let stream = TcpStream::connect_timeout(&peer, CONNECT);
        let stream = stream.map_err(|error| crate::wire::frame::frame_error(&error))?;
        link::dial(&stream, &self.me, &self.keys)
    }

    fn forward(&self, link: &mut link::Sender, waiting: &flume::Receiver<Arc<Message>>) {
        while let Ok(message) = waiting.recv() {
            match link.send(&message) {
                Ok(length) => {
                    self.metrics.mesh_messages.inc();
                    self.metrics.mesh_bytes.inc_by(length as u64);
                }
                Err(error) => {
                    log::debug!(error:% = error; "link out ended");
                    return;
                }
            }
        }
    }

    /// Sends a message to one peer, if there is a link.
    pub fn send(&self, peer: SocketAddr, message: Message) {
        let links = lock(&self.links);
        if let Some(link) = links.get(&peer) {
            self.enqueue(link, Arc::new(message));
        }
    }

    /// Sends a message to some peers, as far as there are links.
    pub fn send_all(&self, peers: &[SocketAddr], message: Message) {
        let message = Arc::new(message);
        let links = lock(&self.links);
        for link in peers.iter().filter_map(|peer| links.get(peer)) {
            self.enqueue(link, Arc::clone(&message));
        }
    }

    /// Sends a message to every peer.
    pub fn broadcast(&self, message: Message) {
        let message = Arc::new(message);
        let links = lock(&self.links);
        links
            .values()
            .for_each(|link| self.enqueue(link, Arc::clone(&message)));
    }

    fn enqueue(&self, link: &flume::Sender<Arc<Message>>, message: Arc<Message>) {
        if link.try_send(message).is_err() {
            self.metrics.mesh_dropped.inc();
        }
    }
}

fn name(hello: &Hello) -> Result<Name> {
    let role = serde_json::from_value(json!(hello.role));
    let role = role.map_err(|error| crate::wire::frame::frame_error(&error))?;
    Ok(Name {
        instance: hello.instance.parse()?,
        role,
    })
}
