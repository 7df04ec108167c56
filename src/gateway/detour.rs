//! Requests that another instance sends to a server, because this one has no path to the servers.

use super::access::Clearance;
use super::buffer;
use super::channel::{self, Channel};
use super::forward::{DEADLINE_MARGIN, Exchange, Outcome, Stream};
use super::reply;
use super::traffic::{Tier, Traffic};
use crate::common::*;
use crate::decide::carrier::Candidate;
use crate::platform::request;
use crate::wire::hop::{Hop, Verdict};
use crate::world::id;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::rc::Rc;
use tokio::time::timeout;

/// Limit on peers that are asked to carry one request.
const MAX_PEERS: usize = 5;
/// Part of the time left that is kept for the way back from the carrier.
const RETURN_MARGIN: Duration = Duration::from_millis(30);
/// Unreachable servers after which a request is passed to another instance.
pub(super) const UNREACHABLE_BEFORE_DETOUR: usize = 2;
/// Cause of a refusal by an instance that has no path to the servers either.
pub(super) const NO_PATH: &str = "no path to the servers";

/// Cause of an unknown outcome: the connection to another instance ended before its answer did.
const BROKE_OFF: &str = "another instance broke off";
const INVALID_STATUS: &str = "another instance passed on an invalid status";

/// Result of passing a request to one peer.
enum Passed {
    Ended(Outcome),
    /// The request did not run, and another peer may carry it.
    Declined,
    /// The same, but the peer may carry requests with other keys.
    KeyDeclined,
    Unreachable,
}

impl Exchange {
    /// Whether the request may be passed to another instance: it was not passed here by one.
    pub(super) fn may_detour(&self) -> bool {
        self.hop.is_none()
    }

    /// Whether this instance has no path to the request's servers.
    pub(super) fn has_no_path(&self) -> bool {
        self.traffic.reach.borrow().is_lost(&self.need.service)
    }

    /// Has another instance serve the request; `None` if no peer carries it.
    pub(super) async fn detour(self: &Rc<Self>, last_event: Option<&str>) -> Option<Outcome> {
        let mut tried = Vec::new();
        while tried.len() < MAX_PEERS && self.time_left() > RETURN_MARGIN + DEADLINE_MARGIN {
            let hop = self.hop_for_carrier()?;
            let service = &self.need.service;
            let peer = self
                .traffic
                .choose_carrier(service, &tried, self.need.draw)?;
            tried.push(peer);
            self.set_may_have_run(true);
            let passed = self.pass_to(peer, hop, last_event).await;
            let outcome = match &passed {
                Passed::Ended(Outcome::Stream(_) | Outcome::Complete(_)) => "carried",
                Passed::Ended(Outcome::Refused { .. } | Outcome::OverQuota { .. }) => "refused",
                Passed::Ended(Outcome::Denied(_)) => "denied",
                Passed::Ended(Outcome::Unknown { .. }) => "unknown",
                Passed::Ended(Outcome::TimedOut) => "late",
                Passed::Declined => "declined",
                Passed::KeyDeclined => "key declined",
                Passed::Unreachable => "unreachable",
            };
            let has_run = self.attempts.borrow().has_run()
                || !matches!(outcome, "refused" | "declined" | "unreachable");
            self.set_may_have_run(has_run);
            self.traffic.metrics.on_detour(outcome);
            let values = json!({"peer": peer, "service": service, "outcome": outcome});
            self.note("detour", values);
            let now = self.now();
            let mut carriers = self.traffic.carriers.borrow_mut();
            match passed {
                Passed::Ended(outcome) => return Some(outcome),
                Passed::Declined => carriers.on_declined(now, service, peer),
                Passed::KeyDeclined => {}
                Passed::Unreachable => carriers.on_unreachable(now, peer),
            }
        }
        None
    }

    fn hop_for_carrier(&self) -> Option<Hop> {
        let attempts = self.attempts.borrow();
        let max_servers = u32::try_from(attempts.servers_left()).unwrap_or(u32::MAX);
        (max_servers > 0).then_some(Hop {
            max_servers,
            is_repeat: !attempts.is_unsent(),
            has_workspaces: self.has_workspaces(),
        })
    }

    async fn pass_to(
        self: &Rc<Self>,
        peer: SocketAddr,
        hop: Hop,
        last_event: Option<&str>,
    ) -> Passed {
        let time_left = self.time_left().saturating_sub(DEADLINE_MARGIN);
        let passed = timeout(time_left, self.exchange_with(peer, hop, last_event)).await;
        passed.unwrap_or(Passed::Ended(Outcome::TimedOut))
    }

    async fn exchange_with(
        self: &Rc<Self>,
        peer: SocketAddr,
        hop: Hop,
        last_event: Option<&str>,
    ) -> Passed {
        let Ok(mut channel) = channel::connect(peer).await else {
            return Passed::Unreachable;
        };
        let clearance = match self.clearance() {
            Ok(clearance) => clearance,
            Err(denial) => return Passed::Ended(Outcome::Denied(denial)),
        };
        if !self.may_use_units() {
            return Passed::Unreachable;
        }
        let request = self.request_for_carrier(hop, last_event, &clearance);
        match channel.send(request).await {
            Ok(response) => self.handle_carried(response, channel).await,
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Passed::Unreachable,
                None => Passed::Ended(Outcome::Unknown { cause: BROKE_OFF }),
            },
        }
    }

    fn request_for_carrier(
        &self,
        hop: Hop,
        last_event: Option<&str>,
        clearance: &Clearance,
    ) -> hyper::Request<Full<bytes::Bytes>> {
        let remaining = self.time_left().saturating_sub(RETURN_MARGIN);
        let id = &self.request.id;
        let identity = clearance.identity();
        let mut headers =
            request::encode_passed_on(&self.head.headers, remaining, id, last_event, identity);
        hop.write(&mut headers);
        let mut request = hyper::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let path = self.head.uri.path_and_query();
        *request.uri_mut() = path.map_or_else(Default::default, |path| path.clone().into());
        *request.headers_mut() = headers;
        request
    }

    async fn handle_carried(
        self: &Rc<Self>,
        response: Response<Incoming>,
        channel: Channel,
    ) -> Passed {
        let (mut head, incoming) = response.into_parts();
        let Some(verdict) = Verdict::take(&mut head.headers) else {
            log::warn!("an answer of another instance says nothing about the request");
            return Passed::Ended(Outcome::Unknown {
                cause: "another instance's answer is unreadable",
            });
        };
        match verdict {
            Verdict::Refused if head.status == StatusCode::SERVICE_UNAVAILABLE => {
                let notice = request::decode_notice(head.status, &head.headers);
                Passed::Ended(Outcome::Refused {
                    cause: "refused at another instance",
                    retry_after: notice.rest.unwrap_or_default(),
                })
            }
            // Its configuration may be another one than that by which the request was accepted here.
            Verdict::Refused | Verdict::Declined => Passed::Declined,
            Verdict::KeyDeclined => Passed::KeyDeclined,
            Verdict::Unknown if head.status == StatusCode::GATEWAY_TIMEOUT => {
                Passed::Ended(Outcome::TimedOut)
            }
            Verdict::Unknown => Passed::Ended(Outcome::Unknown {
                cause: "failed at another instance",
            }),
            // Carriers of earlier releases pass on any status.
            Verdict::Answer if !request::is_final(head.status) => Passed::Ended(Outcome::Unknown {
                cause: INVALID_STATUS,
            }),
            Verdict::Answer if head.status.is_success() && self.route.repeat.is_stream() => {
                Passed::Ended(Outcome::Stream(Box::new(Stream {
                    head,
                    incoming,
                    channel,
                    server: None,
                })))
            }
            Verdict::Answer => {
                let read = buffer::read(&self.traffic, incoming, self.max_body_bytes()).await;
                Passed::Ended(match read {
                    Ok((body, lease)) => Outcome::Complete(reply::forwarded(head, body, lease)),
                    Err(_) => Outcome::Unknown { cause: BROKE_OFF },
                })
            }
        }
    }
}

impl Traffic {
    fn choose_carrier(
        &self,
        service: &id::Service,
        tried: &[SocketAddr],
        draw: u64,
    ) -> Option<SocketAddr> {
        let now = self.clock.now();
        let topology = self.topology.borrow();
        let candidates = topology
            .carriers(now)
            .map(|(address, data_centre)| Candidate {
                address,
                data_centre: data_centre.clone(),
                distance: match self.tier_of(data_centre) {
                    Tier::DataCentre | Tier::DataCentreSum => 0,
                    Tier::Region => 1,
                    Tier::Far => 2,
                },
            });
        let candidates: Vec<Candidate> = candidates.collect();
        let carriers = self.carriers.borrow();
        carriers.choose(now, service, &candidates, tried, draw)
    }
}
