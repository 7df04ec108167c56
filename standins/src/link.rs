//! A link between two processes that can be disturbed: a forwarder on loopback.

use socket2::SockRef;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER: usize = 16 << 10;
/// Modes in which nothing passes in a direction.
const TO_FAR: [Mode; 2] = [Mode::Silent, Mode::Cut];
const TO_NEAR: [Mode; 3] = [Mode::Silent, Mode::Cut, Mode::Mute];

/// What a link does with the connections that cross it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    #[default]
    Open,
    /// Bytes arrive this much later.
    Delayed(Duration),
    /// Connections are reset, new ones too.
    Reset,
    /// Nothing arrives, and what was open then never comes back.
    Silent,
    /// Nothing arrives from the far end, and what was open then never comes back.
    Mute,
    /// Nothing arrives until this ends, and nothing is lost.
    Paused,
    /// What was open never comes back, and new connections are reset.
    Cut,
    /// What was open lives on, and new connections are reset.
    Closed,
}

/// What a link does, and what it does instead for connections from some addresses.
#[derive(Debug, Clone, Default)]
struct Modes {
    all: Mode,
    by_source: BTreeMap<IpAddr, Mode>,
}

impl Modes {
    fn mode(&self, source: IpAddr) -> Mode {
        self.by_source.get(&source).copied().unwrap_or(self.all)
    }
}

/// A link to one address.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    modes: watch::Sender<Modes>,
}

impl Link {
    /// An open link; it forwards until the runtime that hosts it ends.
    #[must_use]
    pub fn new() -> (Self, Listener) {
        let listener = crate::platform::listen();
        let (sender, modes) = watch::channel(Modes::default());
        let address = listener.local_addr().expect("an address");
        let link = Self {
            address,
            modes: sender,
        };
        (link, Listener { listener, modes })
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.modes.send_modify(|modes| modes.all = mode);
    }

    /// Changes what it does with connections from one address.
    pub fn set_for(&self, source: IpAddr, mode: Mode) {
        self.modes.send_modify(|modes| {
            modes.by_source.insert(source, mode);
        });
    }
}

/// The near end of a link.
#[derive(Debug)]
pub struct Listener {
    listener: std::net::TcpListener,
    modes: watch::Receiver<Modes>,
}

impl Listener {
    /// Forwards connections to `target`.
    pub(crate) async fn host(self, target: SocketAddr) {
        let listener = TcpListener::from_std(self.listener).expect("a listener");
        while let Ok((near, source)) = listener.accept().await {
            let modes = self.modes.clone();
            tokio::task::spawn_local(forward(near, source.ip(), target, modes));
        }
    }
}

async fn forward(
    mut near: TcpStream,
    source: IpAddr,
    target: SocketAddr,
    modes: watch::Receiver<Modes>,
) {
    let mode = modes.borrow().mode(source);
    if matches!(mode, Mode::Reset | Mode::Cut | Mode::Closed) {
        reset(&near);
        return;
    }
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let is_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            is_reset = pass(near_read, far_write, source, modes.clone(), &TO_FAR) => is_reset,
            is_reset = pass(far_read, near_write, source, modes, &TO_NEAR) => is_reset,
        }
    };
    if is_reset {
        reset(&near);
        reset(&far);
    }
}

/// Has a connection reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _: std::io::Result<()> = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Passes bytes on until the connection ends; true where it is to be reset.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    source: IpAddr,
    mut modes: watch::Receiver<Modes>,
    silent: &[Mode],
) -> bool {
    let mut buffer = vec![0; BUFFER];
    loop {
        let mode = modes.borrow_and_update().mode(source);
        if mode == Mode::Reset {
            return true;
        }
        if mode == Mode::Paused {
            match modes.changed().await {
                Ok(()) => continue,
                Err(_) => return false,
            }
        }
        if silent.contains(&mode) {
            std::future::pending::<()>().await;
        }
        let read = tokio::select! {
            read = from.read(&mut buffer) => read,
            changed = modes.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return false,
            },
        };
        let Ok(length @ 1..) = read else {
            return false;
        };
        if let Mode::Delayed(time) = mode {
            sleep(time).await;
        }
        while modes.borrow_and_update().mode(source) == Mode::Paused {
            if modes.changed().await.is_err() {
                return false;
            }
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
    }
}
