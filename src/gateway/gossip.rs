//! Datagrams between instances: what each has running, what callers ask for, what workers hold.
//!
//! Each says what is, not what changed, so a lost one is made good by the next.

use super::crashes::MOST_TOLD;
use super::event::Word;
use super::traffic::{Tier, Traffic};
use crate::common::*;
use crate::wire::generated_gossip::Gossip;
use prost::Message;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep};

/// Longest datagram.
const LARGEST: usize = 60_000;
/// Holdings in one datagram.
const HOLDINGS: usize = 10;
/// Time between datagrams within a data centre while requests come, and the longest without one.
const OFTEN: Duration = Duration::from_millis(100);
const SELDOM: Duration = Duration::from_secs(1);
/// Time between datagrams to all of a data centre that has hubs: two fit into the time after which a
/// silent peer does not speak.
const BEAT: Duration = Duration::from_millis(700);
/// Wants go out at once, but not more often than this.
const GATHER: Duration = Duration::from_millis(2);

/// Takes datagrams of peers, and passes on those that are for the whole data centre.
pub async fn listen(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Gossip::decode(&buffer[..length]) {
                Ok(gossip) => take(&traffic, &socket, gossip).await,
                Err(error) => log::warn!("a datagram of {from} can't be read: {error}"),
            },
            Err(error) => {
                log::info!("the socket for peers failed: {error}");
                sleep(GATHER).await;
            }
        }
    }
}

async fn take(traffic: &Traffic, socket: &UdpSocket, mut gossip: Gossip) {
    let passed_on = gossip.pass_on.then(|| {
        gossip.pass_on = false;
        gossip.encode_to_vec()
    });
    traffic.on_gossip(gossip);
    if let Some(bytes) = passed_on {
        send_bytes(socket, &bytes, &traffic.near()).await;
    }
}

/// Tells the peers of a tier what runs here, often while it changes.
pub async fn tell(traffic: Rc<Traffic>, socket: Rc<UdpSocket>, tier: Tier) {
    let pace = pace(tier);
    let mut told = Gossip::default();
    let mut told_at = Instant::now();
    loop {
        sleep(pace).await;
        let peers = match tier {
            Tier::DataCentre => traffic.listeners(),
            Tier::Here | Tier::Region | Tier::Far => traffic.told_of_sums(tier),
        };
        if peers.is_empty() && tier != Tier::DataCentre {
            continue;
        }
        let gossip = traffic.gossip(tier);
        if tier == Tier::DataCentre {
            traffic.tell_placer(&gossip);
        }
        let news = gossip.running != told.running
            || gossip.leaving != told.leaving
            || !gossip.demands.is_empty();
        if news || told_at.elapsed() >= SELDOM {
            send(&socket, &gossip, &peers).await;
            told = gossip;
            told_at = Instant::now();
        }
    }
}

fn pace(tier: Tier) -> Duration {
    match tier {
        Tier::DataCentre => OFTEN,
        Tier::Here | Tier::Region => OFTEN * 2,
        Tier::Far => OFTEN * 4,
    }
}

/// Where instances tell hubs what runs at them: lets all others hear that this one is there if it is a
/// herald, and tells them the sum if it is a hub. Each hears two hubs, one as often as `OFTEN` together.
pub async fn tell_sums(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut beat_at = Instant::now();
    loop {
        sleep(pace(Tier::Here)).await;
        if traffic.has_hubs() && traffic.is_herald() && beat_at.elapsed() >= BEAT {
            beat_at = Instant::now();
            send(&socket, &traffic.envelope(), &traffic.near()).await;
        }
        let peers = traffic.included();
        if peers.is_empty() {
            continue;
        }
        let sum = traffic.gossip(Tier::Here).encode_to_vec();
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
pub async fn hurry(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    loop {
        traffic.to_tell.notified().await;
        sleep(GATHER).await;
        for (holder, want) in traffic.take_wants() {
            let mut gossip = traffic.envelope();
            gossip.wants.push(want);
            send(&socket, &gossip, &[holder]).await;
        }
        if traffic.is_leaving_news.take() {
            let mut gossip = traffic.envelope();
            gossip.leaving = traffic.leaving();
            broadcast(&traffic, &socket, gossip).await;
        }
        let limits = traffic.take_limits();
        if !limits.is_empty() {
            let mut gossip = traffic.envelope();
            gossip.limits = limits;
            broadcast(&traffic, &socket, gossip).await;
        }
        if traffic.is_site_news.take() {
            send(&socket, &traffic.envelope(), &traffic.near()).await;
        }
        for crashes in traffic.take_crashes().chunks(MOST_TOLD) {
            let mut gossip = traffic.envelope();
            gossip.crashes = crashes.to_vec();
            broadcast(&traffic, &socket, gossip).await;
        }
        let batches = std::mem::take(&mut *traffic.batches.borrow_mut());
        for batch in batches.into_iter().filter(|_| traffic.is_planner()) {
            let mut gossip = traffic.envelope();
            gossip.batch = Some(batch.whole);
            send(&socket, &gossip, &traffic.other_holders()).await;
            gossip = traffic.envelope();
            gossip.batch = Some(batch.news);
            broadcast(&traffic, &socket, gossip).await;
        }
    }
}

/// Passes on what the placer has to say.
pub async fn pass(traffic: Rc<Traffic>, socket: Rc<UdpSocket>, words: flume::Receiver<Word>) {
    while let Ok(word) = words.recv_async().await {
        traffic.on_word(&word);
        let mut parts = word.holdings.chunks(HOLDINGS).collect::<Vec<_>>();
        if parts.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            let mut gossip = traffic.envelope();
            gossip.leads.clone_from(&word.leads);
            gossip.holdings = part.to_vec();
            broadcast(&traffic, &socket, gossip).await;
        }
        for job in word.jobs {
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
    send(socket, &gossip, &traffic.near()).await;
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
