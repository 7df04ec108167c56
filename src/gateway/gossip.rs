//! Datagrams between instances: what each has running, what callers ask for, what workers hold.
//!
//! Each says what is, not what changed, so a lost one is made good by the next.

use super::crashes::MAX_CRASHES_PER_DATAGRAM;
use super::event::Announcement;
use super::traffic::{Tier, Traffic};
use crate::common::*;
use crate::wire::generated_gossip::Gossip;
use prost::Message;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

/// Longest datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Holdings in one datagram.
const MAX_HOLDINGS_PER_DATAGRAM: usize = 10;
/// Time between datagrams within a data centre while requests come, and the longest without one.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Time between datagrams to all of a data centre that has hubs: two fit into the time after which a
/// silent peer does not speak.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Wants go out at once, but not more often than this.
const BATCHING_DELAY: Duration = Duration::from_millis(2);

/// Takes datagrams of peers, and passes on those that are for the whole data centre.
pub async fn listen(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Gossip::decode(&buffer[..length]) {
                Ok(gossip) => handle_datagram(&traffic, &socket, gossip).await,
                Err(error) => log::warn!("a datagram of {from} can't be read: {error}"),
            },
            Err(error) => {
                log::info!("the socket for peers failed: {error}");
                sleep(BATCHING_DELAY).await;
            }
        }
    }
}

async fn handle_datagram(traffic: &Traffic, socket: &UdpSocket, mut gossip: Gossip) {
    let forwarded = gossip.pass_on.then(|| {
        gossip.pass_on = false;
        gossip.encode_to_vec()
    });
    traffic.on_gossip(gossip);
    if let Some(bytes) = forwarded {
        send_bytes(socket, &bytes, &traffic.data_centre_peers()).await;
    }
}

/// Tells the peers of a tier what runs here, often while it changes.
pub async fn gossip_loads(traffic: Rc<Traffic>, socket: Rc<UdpSocket>, tier: Tier) {
    let gossip_interval = gossip_interval(tier);
    let mut last_sent = Gossip::default();
    let mut last_sent_at = Instant::now();
    loop {
        sleep(gossip_interval).await;
        let peers = match tier {
            Tier::DataCentre => traffic.load_listeners(),
            Tier::DataCentreSum | Tier::Region | Tier::Far => traffic.sum_recipients(tier),
        };
        if peers.is_empty() && tier != Tier::DataCentre {
            continue;
        }
        let gossip = traffic.build_gossip(tier);
        if tier == Tier::DataCentre {
            traffic.notify_placer_of_demand(&gossip);
        }
        let has_changed = gossip.running != last_sent.running
            || gossip.leaving != last_sent.leaving
            || !gossip.demands.is_empty();
        if has_changed || last_sent_at.elapsed() >= MAX_GOSSIP_INTERVAL {
            send(&socket, &gossip, &peers).await;
            last_sent = gossip;
            last_sent_at = Instant::now();
        }
    }
}

fn gossip_interval(tier: Tier) -> Duration {
    match tier {
        Tier::DataCentre => MIN_GOSSIP_INTERVAL,
        Tier::DataCentreSum | Tier::Region => MIN_GOSSIP_INTERVAL * 2,
        Tier::Far => MIN_GOSSIP_INTERVAL * 4,
    }
}

/// Where instances tell hubs what runs at them: lets all others hear that this one is there if it is a
/// herald, and tells them the sum if it is a hub. Each hears two hubs, one as often as `OFTEN` together.
pub async fn gossip_sums(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut heartbeat_at = Instant::now();
    loop {
        sleep(gossip_interval(Tier::DataCentreSum)).await;
        if traffic.has_hubs() && traffic.is_herald() && heartbeat_at.elapsed() >= HEARTBEAT_INTERVAL
        {
            heartbeat_at = Instant::now();
            send(&socket, &traffic.envelope(), &traffic.data_centre_peers()).await;
        }
        let peers = traffic.included_loads();
        if peers.is_empty() {
            continue;
        }
        let sum = traffic.build_gossip(Tier::DataCentreSum).encode_to_vec();
        for (peer, included) in peers {
            let part = Gossip {
                included: Some(included),
                ..Gossip::default()
            };
            // Messages that are put one after the other are read as one.
            let whole = [sum.clone(), part.encode_to_vec()].concat();
            send_bytes(&socket, &whole, &[peer]).await;
        }
    }
}

/// Tells at once what can't wait: wants to holders, new configurations to the data centre, requests
/// that crash servers and changes of the list of servers to all.
pub async fn gossip_urgent(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    loop {
        traffic.gossip_pending.notified().await;
        sleep(BATCHING_DELAY).await;
        for (holder, want) in traffic.take_adapter_requests() {
            let mut gossip = traffic.envelope();
            gossip.wants.push(want);
            send(&socket, &gossip, &[holder]).await;
        }
        if traffic.has_newly_leaving.take() {
            let mut gossip = traffic.envelope();
            gossip.leaving = traffic.leaving();
            broadcast(&traffic, &socket, gossip).await;
        }
        let limits = traffic.take_new_limits();
        if !limits.is_empty() {
            let mut gossip = traffic.envelope();
            gossip.limits = limits;
            broadcast(&traffic, &socket, gossip).await;
        }
        if traffic.has_new_site.take() {
            send(&socket, &traffic.envelope(), &traffic.data_centre_peers()).await;
        }
        for crashes in traffic
            .take_crash_updates()
            .chunks(MAX_CRASHES_PER_DATAGRAM)
        {
            let mut gossip = traffic.envelope();
            gossip.crashes = crashes.to_vec();
            broadcast(&traffic, &socket, gossip).await;
        }
        let list_updates = std::mem::take(&mut *traffic.list_updates.borrow_mut());
        for list_update in list_updates.into_iter().filter(|_| traffic.is_planner()) {
            let mut gossip = traffic.envelope();
            gossip.batch = Some(list_update.complete);
            send(&socket, &gossip, &traffic.other_holders()).await;
            gossip = traffic.envelope();
            gossip.batch = Some(list_update.reduced);
            broadcast(&traffic, &socket, gossip).await;
        }
    }
}

/// Passes on what the placer has to say.
pub async fn forward_announcements(
    traffic: Rc<Traffic>,
    socket: Rc<UdpSocket>,
    announcements: flume::Receiver<Announcement>,
) {
    while let Ok(announcement) = announcements.recv_async().await {
        traffic.on_announcement(&announcement);
        let mut parts = announcement
            .holdings
            .chunks(MAX_HOLDINGS_PER_DATAGRAM)
            .collect::<Vec<_>>();
        if parts.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            let mut gossip = traffic.envelope();
            gossip.leads.clone_from(&announcement.leads);
            gossip.holdings = part.to_vec();
            broadcast(&traffic, &socket, gossip).await;
        }
        for job in announcement.jobs {
            let holder = job.worker.parse().ok();
            let holder = holder.and_then(|worker| traffic.holder_address(&worker));
            let mut gossip = traffic.envelope();
            gossip.jobs.push(job);
            send(&socket, &gossip, holder.as_slice()).await;
        }
    }
}

/// Tells all instances: those of other data centres through their relays.
async fn broadcast(traffic: &Traffic, socket: &UdpSocket, mut gossip: Gossip) {
    send(socket, &gossip, &traffic.data_centre_peers()).await;
    gossip.pass_on = true;
    send(socket, &gossip, &traffic.relays()).await;
}

async fn send(socket: &UdpSocket, gossip: &Gossip, peers: &[SocketAddr]) {
    send_bytes(socket, &gossip.encode_to_vec(), peers).await;
}

async fn send_bytes(socket: &UdpSocket, bytes: &[u8], peers: &[SocketAddr]) {
    for peer in peers {
        if let Err(error) = socket.send_to(bytes, peer).await {
            log::debug!("no datagram to {peer}: {error}");
        }
    }
}
