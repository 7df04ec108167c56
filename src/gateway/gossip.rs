//! UDP datagrams between instances: running requests, demand of callers, holdings of workers.
//!
//! Each datagram carries state, not changes, so the next one makes up for a lost one.

use super::event::Announcement;
use super::traffic::{ListUpdate, Tier, Traffic};
use crate::common::*;
use crate::decide::follower::Audience;
use crate::wire::generated_gossip::{Batch, Gossip};
use crate::wire::list;
use prost::Message;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

/// Largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Size of the changes of the server list in one datagram. Larger ones are lost more often, as each of
/// their packets may be, and relays forward the first while the next is under way.
const MAX_BATCH_BYTES: usize = 8_000;
/// Limit on holdings in one datagram.
const MAX_HOLDINGS_PER_DATAGRAM: usize = 10;
/// Shortest interval between datagrams within a data centre, used while the state changes, and the
/// longest, used while it does not.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(100);
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between heartbeats to a whole data centre that has hubs: two fit into the time after
/// which a silent peer is no longer eligible to speak for the data centre.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Urgent updates are collected for this long, which also limits how often they are sent.
const BATCHING_DELAY: Duration = Duration::from_millis(2);

/// Receives datagrams, and forwards those that are for the whole data centre.
pub async fn listen(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Gossip::decode(&buffer[..length]) {
                Ok(gossip) => handle_datagram(&traffic, &socket, gossip).await,
                Err(error) => log::warn!("invalid datagram from {from}: {error}"),
            },
            Err(error) => {
                log::info!("receiving on the peer socket failed: {error}");
                sleep(BATCHING_DELAY).await;
            }
        }
    }
}

async fn handle_datagram(traffic: &Traffic, socket: &UdpSocket, mut gossip: Gossip) {
    let forwarded = gossip.pass_on.then(|| {
        gossip.pass_on = false;
        (forwarded_kind(&gossip), gossip.encode_to_vec())
    });
    let is_news = traffic.on_gossip(gossip);
    if let Some((kind, bytes)) = forwarded.filter(|_| is_news) {
        let peers = traffic.data_centre_peers();
        send_bytes(traffic, socket, kind, &bytes, &peers).await;
    }
}

/// Returns the kind under which a forwarded datagram is counted.
fn forwarded_kind(gossip: &Gossip) -> &'static str {
    if gossip.batch.is_some() {
        "forwarded_list"
    } else if gossip.running.is_some() {
        "forwarded_load"
    } else if !gossip.leaving.is_empty() {
        "forwarded_leaving"
    } else if !gossip.holdings.is_empty() || !gossip.leads.is_empty() {
        "forwarded_holdings"
    } else {
        "forwarded_other"
    }
}

/// Sends the load at this instance, or the sum of this data centre, to the peers of a tier; more
/// often while it changes.
pub async fn gossip_loads(traffic: Rc<Traffic>, socket: Rc<UdpSocket>, tier: Tier) {
    let gossip_interval = gossip_interval(tier);
    let mut last_sent = Gossip::default();
    let mut last_sent_at = Instant::now();
    loop {
        sleep(gossip_interval).await;
        let peers = match tier {
            Tier::DataCentre => traffic.load_recipients(),
            Tier::DataCentreSum | Tier::Region | Tier::Far => traffic.sum_recipients(tier),
        };
        if peers.is_empty() && tier != Tier::DataCentre {
            continue;
        }
        let gossip = traffic.build_gossip(tier);
        if tier == Tier::DataCentre {
            traffic.notify_placer_of_demand(&gossip);
        }
        let has_new_proof = tier == Tier::DataCentre && traffic.take_new_proof();
        let has_changed = gossip.running != last_sent.running
            || gossip.leaving != last_sent.leaving
            || !gossip.demands.is_empty()
            || has_new_proof;
        if has_changed || last_sent_at.elapsed() >= MAX_GOSSIP_INTERVAL {
            send(&traffic, &socket, "load", &gossip, &peers).await;
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

/// For data centres with hubs: sends heartbeats to all peers if this instance is a
/// broadcaster, and the sum of all loads if it is a hub. Each instance receives from two hubs,
/// which together send at
/// `MIN_GOSSIP_INTERVAL`.
pub async fn gossip_sums(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut heartbeat_at = Instant::now();
    loop {
        sleep(gossip_interval(Tier::DataCentreSum)).await;
        if traffic.has_hubs()
            && traffic.should_send_heartbeats()
            && heartbeat_at.elapsed() >= HEARTBEAT_INTERVAL
        {
            heartbeat_at = Instant::now();
            let peers = traffic.data_centre_peers();
            send(&traffic, &socket, "heartbeat", &traffic.envelope(), &peers).await;
        }
        let peers = traffic.included_loads();
        if peers.is_empty() {
            continue;
        }
        let sum = traffic.build_gossip(Tier::DataCentreSum).encode_to_vec();
        for (peer, included_part) in peers {
            // Concatenated protobuf messages are decoded as one merged message.
            let datagram = [sum.clone(), included_part.encode_to_vec()].concat();
            send_bytes(&traffic, &socket, "load", &datagram, &[peer]).await;
        }
    }
}

/// Sends urgent updates at once: adapter requests to holders, requests for proofs and their answers to
/// single peers, new configurations and whether the store answers to the data centre, and departures, rate limits, the quarantine and server list changes to all instances.
pub async fn gossip_urgent(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    loop {
        traffic.gossip_pending.notified().await;
        sleep(BATCHING_DELAY).await;
        for (holder, want) in traffic.take_adapter_requests() {
            let mut gossip = traffic.envelope();
            gossip.wants.push(want);
            send(&traffic, &socket, "want", &gossip, &[holder]).await;
        }
        if traffic.has_newly_leaving.take() {
            let mut gossip = traffic.envelope();
            gossip.leaving = traffic.leaving();
            broadcast(&traffic, &socket, "leaving", gossip).await;
        }
        let limits = traffic.take_new_limits();
        if !limits.is_empty() {
            let mut gossip = traffic.envelope();
            gossip.limits = limits;
            broadcast(&traffic, &socket, "limit", gossip).await;
        }
        for (peer, gossip) in traffic.take_proof_messages() {
            send(&traffic, &socket, "proof", &gossip, &[peer]).await;
        }
        let has_reach_changed = traffic.has_reach_changed.take();
        let has_new_access = traffic.has_new_access.take();
        let has_new_site = traffic.has_new_site.take();
        if has_reach_changed && traffic.is_holder() {
            broadcast(&traffic, &socket, "reach", traffic.envelope()).await;
        } else if has_new_site && traffic.checks_store() {
            broadcast(&traffic, &socket, "news", traffic.envelope()).await;
        } else if has_reach_changed || has_new_access || has_new_site {
            let peers = traffic.data_centre_peers();
            send(&traffic, &socket, "news", &traffic.envelope(), &peers).await;
        }
        if traffic.has_new_streams.take() {
            for streams in traffic.take_stream_news() {
                let mut gossip = traffic.envelope();
                gossip.streams = vec![streams];
                broadcast(&traffic, &socket, "streams", gossip).await;
            }
        }
        for quarantine in traffic.take_quarantine_news() {
            let mut gossip = traffic.envelope();
            gossip.quarantine = Some(quarantine);
            broadcast(&traffic, &socket, "quarantine", gossip).await;
        }
        for (peer, quarantine) in traffic.take_quarantine_summaries() {
            let mut gossip = traffic.envelope();
            gossip.quarantine = Some(quarantine);
            send(&traffic, &socket, "quarantine", &gossip, &[peer]).await;
        }
        let list_updates = std::mem::take(&mut *traffic.list_updates.borrow_mut());
        for list_update in list_updates {
            send_list_update(&traffic, &socket, list_update).await;
        }
    }
}

async fn send_list_update(traffic: &Traffic, socket: &UdpSocket, update: ListUpdate) {
    if update.audience == Audience::All {
        let holders = traffic.other_holders();
        for batch in list::divide(update.complete, MAX_BATCH_BYTES) {
            let gossip = list_gossip(traffic, batch);
            send(traffic, socket, "list", &gossip, &holders).await;
        }
    }
    for batch in list::divide(update.reduced, MAX_BATCH_BYTES) {
        let gossip = list_gossip(traffic, batch);
        match update.audience {
            Audience::All => broadcast(traffic, socket, "list", gossip).await,
            Audience::DataCentre => {
                let peers = traffic.data_centre_peers();
                send(traffic, socket, "list", &gossip, &peers).await;
            }
        }
    }
}

fn list_gossip(traffic: &Traffic, batch: Batch) -> Gossip {
    Gossip {
        batch: Some(batch),
        ..traffic.envelope()
    }
}

/// Sends the placer's announcements to other instances.
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
        if parts.is_empty() && !announcement.leads.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            let mut gossip = traffic.envelope();
            gossip.leads.clone_from(&announcement.leads);
            gossip.holdings = part.to_vec();
            broadcast(&traffic, &socket, "holdings", gossip).await;
        }
        for job in announcement.jobs {
            let holder = job.worker.parse().ok();
            let holder = holder.and_then(|worker| traffic.holder_address(&worker));
            let mut gossip = traffic.envelope();
            gossip.jobs.push(job);
            send(&traffic, &socket, "job", &gossip, holder.as_slice()).await;
        }
    }
}

/// Sends to all instances; relays forward to those of other data centres.
async fn broadcast(traffic: &Traffic, socket: &UdpSocket, kind: &'static str, mut gossip: Gossip) {
    let peers = traffic.data_centre_peers();
    send(traffic, socket, kind, &gossip, &peers).await;
    gossip.pass_on = true;
    send(traffic, socket, kind, &gossip, &traffic.relays()).await;
}

pub(super) async fn send(
    traffic: &Traffic,
    socket: &UdpSocket,
    kind: &'static str,
    gossip: &Gossip,
    peers: &[SocketAddr],
) {
    send_bytes(traffic, socket, kind, &gossip.encode_to_vec(), peers).await;
}

async fn send_bytes(
    traffic: &Traffic,
    socket: &UdpSocket,
    kind: &'static str,
    bytes: &[u8],
    peers: &[SocketAddr],
) {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        let size = bytes.len();
        log::warn!("datagram of kind {kind} not sent: {size} bytes are more than peers receive");
        return;
    }
    traffic.on_gossip_sent(kind, bytes.len() * peers.len());
    for peer in peers {
        if let Err(error) = socket.send_to(bytes, peer).await {
            log::debug!("sending a datagram to {peer} failed: {error}");
        }
    }
}
