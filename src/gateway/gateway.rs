//! The process that serves on every instance: its threads, its signals, its end.
//!
//! Three duties have a thread each: traffic, store, placer; a fourth writes logs. They are joined
//! by bounded rings. A request stays within the traffic thread from its first byte to its last.

use super::event::{Call, Heard, Interest, News, RING, Word};
use super::journal::Journal;
use super::traffic::{Tier, Traffic};
use super::{admin, gossip, ingress, placer, store};
use crate::common::*;
use crate::node::clock::{Clock, incarnation};
use crate::platform::settings;
use crate::world::deployment::Deployment;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{interval, sleep};

/// Callers' connections that wait to be taken.
const BACKLOG: u32 = 1024;
/// How often what depends on time is moved on.
const TICK: Duration = Duration::from_millis(250);
/// After a stop signal the platform needs this long to send no new connections.
const UNREADY: Duration = Duration::from_millis(2_300);
/// Left of the grace time for the end itself.
const LAST: Duration = Duration::from_millis(400);
/// What still waits to be sent this long before the end is refused, so that its answer gets out.
const LAST_CALL: Duration = Duration::from_millis(500);
/// How often a stopping process looks whether connections are open.
const LOOK: Duration = Duration::from_millis(25);

/// Runs the gateway until it is told to stop.
///
/// # Errors
/// Where settings are wrong or addresses can't be listened on.
pub fn run() -> Result<()> {
    let deployment = Arc::new(read_settings()?);
    let clock = Clock::default();
    let incarnation = incarnation();
    let journal = Journal::start(clock, deployment.instance.as_str())?;
    journal.note(
        "start",
        &json!({"deployment": *deployment, "incarnation": incarnation}),
    );
    let (calls, calls_in) = flume::bounded::<Call>(RING);
    let (news, news_in) = flume::bounded::<News>(RING);
    let (heard, heard_in) = flume::bounded::<Heard>(RING);
    let (interest, interest_in) = watch::channel(Interest::default());
    let (words, words_in) = flume::bounded::<Word>(RING);
    let store_duty = {
        let deployment = Arc::clone(&deployment);
        move || store::run(deployment, clock, calls_in, news, interest_in)
    };
    let placer_duty = {
        let deployment = Arc::clone(&deployment);
        let journal = journal.clone();
        move || {
            placer::run(
                deployment,
                clock,
                incarnation,
                journal,
                heard_in,
                calls,
                words,
            )
        }
    };
    let ending = Arc::new(AtomicBool::new(false));
    spawn("store", &ending, store_duty)?;
    spawn("placer", &ending, placer_duty)?;
    let traffic = || async move {
        let placer = heard.clone();
        let traffic = Traffic::new(deployment, clock, incarnation, journal, placer, interest);
        let served = serve(traffic, news_in, words_in, heard).await;
        ending.store(true, Ordering::SeqCst);
        served
    };
    block(traffic)?
}

/// Reads the settings file that the platform names.
///
/// # Errors
/// [`Error::Settings`] where the variable, the file or a value is missing or wrong.
pub fn read_settings() -> Result<Deployment> {
    let wrong = |text: String| Error::Settings {
        problems: vec![text],
    };
    let variable = settings::PATH_VARIABLE;
    let path = std::env::var(variable)
        .map_err(|_| wrong(format!("{variable} is not set: name the settings file")))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| wrong(format!("{path}: {error}; {variable} must name a file")))?;
    settings::decode(&text)
}

/// Exit code of a process of which a duty ended before it was told to.
const DUTY_ENDED: i32 = 70;

/// Starts a duty on a thread and a runtime of its own; if it ends before the process does, so
/// does the process.
fn spawn<F: Future<Output = ()>>(
    name: &str,
    ending: &Arc<AtomicBool>,
    duty: impl FnOnce() -> F + Send + 'static,
) -> Result<()> {
    let label = name.to_owned();
    let ending = Arc::clone(ending);
    thread::Builder::new()
        .name(name.into())
        .spawn(move || {
            let ended = catch_unwind(AssertUnwindSafe(|| block(duty)));
            if ending.load(Ordering::SeqCst) {
                return;
            }
            eprintln!("the duty {label} ended: {ended:?}; the process ends and starts anew");
            std::process::exit(DUTY_ENDED);
        })
        .map_err(|source| Error::Thread { source })?;
    Ok(())
}

fn block<T, F: Future<Output = T>>(duty: impl FnOnce() -> F) -> Result<T> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| Error::Thread { source })?;
    Ok(LocalSet::new().block_on(&runtime, async { duty().await }))
}

fn listen(address: SocketAddr) -> Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    open().map_err(|error| Error::Listen {
        address,
        source: Box::new(error),
    })
}

async fn serve(
    traffic: Rc<Traffic>,
    news: flume::Receiver<News>,
    words: flume::Receiver<Word>,
    placer: flume::Sender<Heard>,
) -> Result<()> {
    let deployment = Arc::clone(&traffic.deployment);
    let (close, closing) = watch::channel(false);
    let peers = deployment.peers;
    let socket = UdpSocket::bind(peers).await;
    let socket = Rc::new(socket.map_err(|error| Error::Listen {
        address: peers,
        source: Box::new(error),
    })?);
    let callers = listen(deployment.callers)?;
    spawn_local(admin::serve(Rc::clone(&traffic), listen(deployment.ready)?));
    spawn_local(admin::serve(
        Rc::clone(&traffic),
        listen(deployment.metrics)?,
    ));
    spawn_local(gossip::listen(Rc::clone(&traffic), Rc::clone(&socket)));
    for tier in [Tier::DataCentre, Tier::Region, Tier::Far] {
        spawn_local(gossip::tell(Rc::clone(&traffic), Rc::clone(&socket), tier));
    }
    spawn_local(gossip::tell_sums(Rc::clone(&traffic), Rc::clone(&socket)));
    spawn_local(gossip::hurry(Rc::clone(&traffic), Rc::clone(&socket)));
    spawn_local(gossip::pass(Rc::clone(&traffic), socket, words));
    spawn_local(follow(Rc::clone(&traffic), news));
    spawn_local(ticks(Rc::clone(&traffic)));
    spawn_local(ingress::serve(Rc::clone(&traffic), callers, closing));
    wait_for_stop(&traffic).await?;
    stop(&traffic, &placer, &close).await;
    Ok(())
}

async fn follow(traffic: Rc<Traffic>, news: flume::Receiver<News>) {
    while let Ok(news) = news.recv_async().await {
        traffic.on_news(news);
    }
}

async fn ticks(traffic: Rc<Traffic>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        traffic.tick();
    }
}

/// Waits for a stop signal; a hangup signal has the settings read again.
async fn wait_for_stop(traffic: &Traffic) -> Result<()> {
    let catch = |kind| signal(kind).map_err(|source| Error::Signal { source });
    let mut terminate = catch(SignalKind::terminate())?;
    let mut interrupt = catch(SignalKind::interrupt())?;
    let mut hangup = catch(SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(traffic),
        }
    }
}

/// Addresses and promises hold for the life of a process: a change is logged, with the remedy.
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

/// Ends without cutting a request: unready first, then idle connections close, then the end.
async fn stop(traffic: &Traffic, placer: &flume::Sender<Heard>, close: &watch::Sender<bool>) {
    let began = traffic.clock.now();
    traffic
        .journal
        .note("stop", &json!({"open": traffic.open.get()}));
    traffic.is_stopping.set(true);
    let last = began + traffic.deployment.bounds.grace.saturating_sub(LAST);
    traffic.last_call.set(Some(last.saturating_sub(LAST_CALL)));
    if placer.try_send(Heard::Stop).is_err() {
        traffic
            .journal
            .note("ring_full", &json!({"ring": "placer"}));
    }
    sleep(UNREADY).await;
    close.send_replace(true);
    while traffic.open.get() > 0 && traffic.clock.now() < last {
        sleep(LOOK).await;
    }
    let took = traffic.clock.now().saturating_sub(began);
    traffic.journal.note(
        "stopped",
        &json!({"open": traffic.open.get(), "took_ms": took.as_millis()}),
    );
    sleep(LOOK).await;
}
