//! The gateway process, which runs on every instance: threads, signals and shutdown.
//!
//! Traffic, store and placer have one thread each; a fourth writes logs. They communicate
//! through bounded channels. A request stays on the traffic thread from its first byte to its
//! last.

use super::event::{Announcement, CHANNEL_CAPACITY, Call, PlacerEvent, StoreUpdate, Subscription};
use super::ingress::Door;
use super::journal::Journal;
use super::traffic::{Tier, Traffic};
use super::{admin, gossip, ingress, notices, origins, placer, quarantine, quota, store, tasks};
use crate::common::*;
use crate::decide::shutdown::Shutdown;
use crate::node::clock::{Clock, incarnation};
use crate::platform::settings;
use crate::world::deployment::{Deployment, Machine};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::{interval, sleep};

/// Callers' connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// Receive buffer of a connection; the kernel allocates up to twice as much.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;
/// Interval at which time-dependent state is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// After a stop signal, the platform needs this long until it sends no new connections.
const UNREADY_TIME: Duration = Duration::from_millis(2_300);
/// Part of the grace time that is reserved for the exit of the process.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a stopping process checks for open connections.
const CONNECTION_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Runs the gateway until a stop signal arrives.
///
/// # Errors
/// If settings are invalid or an address can't be listened on.
pub fn run() -> Result<()> {
    let deployment = Arc::new(read_settings()?);
    let clock = Clock::default();
    let incarnation = incarnation();
    let journal = Journal::start(clock, deployment.instance.as_str())?;
    journal.note(
        "start",
        &json!({"deployment": *deployment, "incarnation": incarnation}),
    );
    let (calls, calls_rx) = flume::bounded::<Call>(CHANNEL_CAPACITY);
    let (updates, updates_rx) = flume::bounded::<StoreUpdate>(CHANNEL_CAPACITY);
    let (placer_events, placer_events_rx) = flume::bounded::<PlacerEvent>(CHANNEL_CAPACITY);
    let (subscription, subscription_rx) = watch::channel(Subscription::default());
    let (announcements, announcements_rx) = flume::bounded::<Announcement>(CHANNEL_CAPACITY);
    let store_main = {
        let deployment = Arc::clone(&deployment);
        move || store::run(deployment, clock, calls_rx, updates, subscription_rx)
    };
    let traffic_calls = calls.clone();
    let placer_main = {
        let deployment = Arc::clone(&deployment);
        let journal = journal.clone();
        move || {
            placer::run(
                deployment,
                clock,
                incarnation,
                journal,
                placer_events_rx,
                calls,
                announcements,
            )
        }
    };
    let is_ending = Arc::new(AtomicBool::new(false));
    spawn("store", &is_ending, store_main)?;
    spawn("placer", &is_ending, placer_main)?;
    let traffic = || async move {
        let placer = placer_events.clone();
        let traffic = Traffic::new(
            deployment,
            clock,
            incarnation,
            journal,
            placer,
            subscription,
            traffic_calls,
        );
        tasks::watch_panics(traffic.metrics.panics.clone());
        let served = serve(traffic, updates_rx, announcements_rx, placer_events).await;
        is_ending.store(true, Ordering::SeqCst);
        served
    };
    run_local(traffic)?
}

/// Reads the settings file named by the environment.
///
/// # Errors
/// [`Error::Settings`] if the variable, the file or a value is missing or invalid.
pub fn read_settings() -> Result<Deployment> {
    let settings_error = |text: String| Error::Settings {
        problems: vec![text],
    };
    let variable = settings::PATH_VARIABLE;
    let path = std::env::var(variable)
        .map_err(|_| settings_error(format!("{variable} is not set: name the settings file")))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| settings_error(format!("{path}: {error}; {variable} must name a file")))?;
    settings::decode(&text)
}

/// Starts a thread with a runtime of its own; if it ends before shutdown, the process exits.
fn spawn<F: Future<Output = ()>>(
    name: &str,
    is_ending: &Arc<AtomicBool>,
    thread_main: impl FnOnce() -> F + Send + 'static,
) -> Result<()> {
    let label = name.to_owned();
    let is_ending = Arc::clone(is_ending);
    thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let result = catch_unwind(AssertUnwindSafe(|| run_local(thread_main)));
            if is_ending.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(Err(error)) = result {
                log::error!("thread {label} could not start: {error}");
            }
            tasks::exit(&label);
        })
        .map_err(|source| Error::Thread { source })?;
    Ok(())
}

fn run_local<T, F: Future<Output = T>>(thread_main: impl FnOnce() -> F) -> Result<T> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread { source })?;
    Ok(LocalSet::new().block_on(&runtime, async { thread_main().await }))
}

/// Listens on an address. If the memory of the machine is stated, the buffers for bytes that are received and
/// unread are bounded, since they are part of it.
fn listen(address: SocketAddr, machine: Machine) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        if machine.memory.is_some() {
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        }
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    open().map_err(|error| Error::Listen {
        address,
        source: Box::new(error),
    })
}

async fn serve(
    traffic: Rc<Traffic>,
    updates: flume::Receiver<StoreUpdate>,
    announcements: flume::Receiver<Announcement>,
    placer: flume::Sender<PlacerEvent>,
) -> Result<()> {
    let deployment = Arc::clone(&traffic.deployment);
    let (close, closing) = watch::channel(false);
    let peers = deployment.peers;
    let socket = UdpSocket::bind(peers).await;
    let socket = Rc::new(socket.map_err(|error| Error::Listen {
        address: peers,
        source: Box::new(error),
    })?);
    let machine = deployment.machine;
    let callers = listen(deployment.callers, machine)?;
    let carried = listen(peers, machine)?;
    let admin_addresses = [deployment.ready, deployment.metrics];
    for address in admin_addresses {
        let (traffic, listener) = (Rc::clone(&traffic), Rc::new(listen(address, machine)?));
        tasks::keep("admin", move || {
            admin::serve(Rc::clone(&traffic), Rc::clone(&listener))
        });
    }
    keep_gossip(&traffic, &socket, announcements);
    keep_state(&traffic, updates);
    let accepting = [(callers, Door::Callers), (carried, Door::Peers)].map(|(listener, door)| {
        let (traffic, listener) = (Rc::clone(&traffic), Rc::new(listener));
        let closing = closing.clone();
        tasks::keep("ingress", move || {
            ingress::serve(
                Rc::clone(&traffic),
                Rc::clone(&listener),
                door,
                closing.clone(),
            )
        })
    });
    wait_for_stop(&traffic).await?;
    stop(&traffic, &placer, &close, accepting).await;
    Ok(())
}

/// Starts the tasks that send datagrams to other instances and receive theirs.
fn keep_gossip(
    traffic: &Rc<Traffic>,
    socket: &Rc<UdpSocket>,
    announcements: flume::Receiver<Announcement>,
) {
    let both = || (Rc::clone(traffic), Rc::clone(socket));
    let (traffic, socket) = both();
    tasks::keep("listen", move || {
        gossip::listen(Rc::clone(&traffic), Rc::clone(&socket))
    });
    for tier in [Tier::DataCentre, Tier::Region, Tier::Far] {
        let (traffic, socket) = both();
        tasks::keep("loads", move || {
            gossip::gossip_loads(Rc::clone(&traffic), Rc::clone(&socket), tier)
        });
    }
    let (traffic, socket) = both();
    tasks::keep("sums", move || {
        gossip::gossip_sums(Rc::clone(&traffic), Rc::clone(&socket))
    });
    let (traffic, socket) = both();
    tasks::keep("urgent", move || {
        gossip::gossip_urgent(Rc::clone(&traffic), Rc::clone(&socket))
    });
    let (traffic, socket) = both();
    tasks::keep("quota", move || {
        quota::run(Rc::clone(&traffic), Rc::clone(&socket))
    });
    let (traffic, socket) = both();
    tasks::keep("announcements", move || {
        gossip::forward_announcements(
            Rc::clone(&traffic),
            Rc::clone(&socket),
            announcements.clone(),
        )
    });
}

/// Starts the tasks that keep this instance's state and its rows in the store.
fn keep_state(traffic: &Rc<Traffic>, updates: flume::Receiver<StoreUpdate>) {
    let this = Rc::clone(traffic);
    tasks::keep("updates", move || {
        apply_store_updates(Rc::clone(&this), updates.clone())
    });
    let this = Rc::clone(traffic);
    tasks::keep("ticks", move || tick_periodically(Rc::clone(&this)));
    let this = Rc::clone(traffic);
    tasks::keep("quarantine", move || {
        quarantine::keep_in_store(Rc::clone(&this))
    });
    let this = Rc::clone(traffic);
    tasks::keep("notices", move || notices::keep_in_store(Rc::clone(&this)));
    let this = Rc::clone(traffic);
    tasks::keep("streams", move || origins::tell_peers(Rc::clone(&this)));
    let this = Rc::clone(traffic);
    tasks::keep("origins", move || origins::keep_in_store(Rc::clone(&this)));
}

async fn apply_store_updates(traffic: Rc<Traffic>, updates: flume::Receiver<StoreUpdate>) {
    while let Ok(update) = updates.recv_async().await {
        let _applying = Applying(&traffic);
        traffic.on_store_update(update);
    }
}

/// Marks an update as lost if applying it panics.
struct Applying<'a>(&'a Traffic);

impl Drop for Applying<'_> {
    fn drop(&mut self) {
        if thread::panicking() {
            self.0.misses_update.set(true);
        }
    }
}

async fn tick_periodically(traffic: Rc<Traffic>) {
    let mut ticks = interval(TICK_INTERVAL);
    let mut due_at = traffic.clock.now();
    loop {
        ticks.tick().await;
        let now = traffic.clock.now();
        traffic.on_timer(now.saturating_sub(due_at));
        traffic.callers.log(&traffic.journal);
        due_at = now + TICK_INTERVAL;
        traffic.tick();
    }
}

/// Waits for a stop signal; SIGHUP rereads the settings.
async fn wait_for_stop(traffic: &Traffic) -> Result<()> {
    let subscribe = |kind| signal(kind).map_err(|source| Error::Signal { source });
    let mut terminate = subscribe(SignalKind::terminate())?;
    let mut interrupt = subscribe(SignalKind::interrupt())?;
    let mut hangup = subscribe(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(traffic),
        }
    }
}

/// Settings can't change while the process runs: a difference is logged together with the
/// remedy.
fn reload(traffic: &Traffic) {
    match read_settings() {
        Ok(settings) => {
            let same = json!(settings) == json!(*traffic.deployment);
            let remedy = if same {
                "nothing to do"
            } else {
                "restart the process to use them"
            };
            traffic
                .journal
                .note("reload", &json!({"same": same, "remedy": remedy}));
        }
        Err(error) => traffic
            .journal
            .note("reload", &json!({"error": error.to_string()})),
    }
}

/// Shuts down without cutting requests: reports unready, then closes idle connections, and
/// returns when no connection is accepted or open any more, or the grace time is nearly over.
async fn stop(
    traffic: &Traffic,
    placer: &flume::Sender<PlacerEvent>,
    close: &watch::Sender<bool>,
    accepting: [JoinHandle<()>; 2],
) {
    let stop_began_at = traffic.clock.now();
    traffic
        .journal
        .note("stop", &json!({"open": traffic.open_connections.get()}));
    let last = stop_began_at
        + traffic
            .deployment
            .bounds
            .grace
            .saturating_sub(SHUTDOWN_MARGIN);
    traffic.shutdown.set(Some(Shutdown {
        began_at: stop_began_at,
        ends_at: last,
    }));
    if placer.try_send(PlacerEvent::Stop).is_err() {
        traffic
            .journal
            .note("ring_full", &json!({"ring": "placer"}));
    }
    sleep(UNREADY_TIME).await;
    close.send_replace(true);
    for accepting in accepting {
        if let Err(error) = accepting.await {
            log::error!("a task that accepts connections ended: {error}");
        }
    }
    while traffic.open_connections.get() > 0 && traffic.clock.now() < last {
        sleep(CONNECTION_POLL_INTERVAL).await;
    }
    let took = traffic.clock.now().saturating_sub(stop_began_at);
    traffic.journal.note(
        "stopped",
        &json!({"open": traffic.open_connections.get(), "took_ms": took.as_millis()}),
    );
    sleep(CONNECTION_POLL_INTERVAL).await;
}
