//! Datagrams between instances: what each has running, what callers ask for, what workers hold.
//!
//! Each says what is, not what changed, so a lost one is made good by the next.

use super::event::Word;
use super::traffic::Traffic;
use crate::common::*;
use crate::wire::generated_gossip::Gossip;
use prost::Message;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};

/// Longest datagram.
const LARGEST: usize = 60_000;
/// Holdings in one datagram.
const HOLDINGS: usize = 10;
/// Time between datagrams while requests come, and the longest time without one.
const OFTEN: Duration = Duration::from_millis(100);
const SELDOM: Duration = Duration::from_millis(1_000);
/// Wants go out at once, but not more often than this.
const GATHER: Duration = Duration::from_millis(2);

/// Takes datagrams of peers.
pub async fn listen(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match Gossip::decode(&buffer[..length]) {
                Ok(gossip) => traffic.on_gossip(gossip, from),
                Err(error) => log::warn!("a datagram of {from} can't be read: {error}"),
            },
            Err(error) => {
                log::info!("the socket for peers failed: {error}");
                sleep(GATHER).await;
            }
        }
    }
}

/// Tells peers what runs here, often while it changes.
pub async fn tell(traffic: Rc<Traffic>, socket: Rc<UdpSocket>) {
    let mut told = Gossip::default();
    let mut told_at = Instant::now();
    loop {
        tokio::select! {
            () = traffic.to_tell.notified() => sleep(GATHER).await,
            () = sleep_until(told_at + OFTEN) => {}
        }
        let gossip = traffic.gossip();
        let news = gossip.loads != told.loads
            || !gossip.demands.is_empty()
            || !gossip.wants.is_empty();
        if news || told_at.elapsed() >= SELDOM {
            send(&traffic, &socket, &gossip).await;
            told = gossip;
            told_at = Instant::now();
        } else {
            sleep(OFTEN).await;
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
        for (index, part) in parts.into_iter().enumerate() {
            let mut gossip = traffic.gossip();
            gossip.leads.clone_from(&word.leads);
            gossip.holdings = part.to_vec();
            if index == 0 {
                gossip.jobs.clone_from(&word.jobs);
            }
            send(&traffic, &socket, &gossip).await;
        }
    }
}

async fn send(traffic: &Traffic, socket: &UdpSocket, gossip: &Gossip) {
    let bytes = gossip.encode_to_vec();
    for peer in traffic.peers() {
        if let Err(error) = socket.send_to(&bytes, peer).await {
            log::debug!("no datagram to {peer}: {error}");
        }
    }
}
