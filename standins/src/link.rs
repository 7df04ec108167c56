//! A link between two processes that can be disturbed: a forwarder on loopback.

use socket2::SockRef;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

const BUFFER: usize = 16 << 10;

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
}

/// A link to one address.
#[derive(Debug)]
pub struct Link {
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Link {
    /// An open link; it forwards until the runtime that hosts it ends.
    #[must_use]
    pub fn new() -> (Self, Listener) {
        let listener = crate::platform::listen();
        let (mode, modes) = watch::channel(Mode::Open);
        let address = listener.local_addr().expect("an address");
        (Self { address, mode }, Listener { listener, modes })
    }

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

/// The near end of a link.
#[derive(Debug)]
pub struct Listener {
    listener: std::net::TcpListener,
    modes: watch::Receiver<Mode>,
}

impl Listener {
    /// Forwards connections to `target`.
    pub(crate) async fn host(self, target: SocketAddr) {
        let listener = TcpListener::from_std(self.listener).expect("a listener");
        while let Ok((near, _)) = listener.accept().await {
            tokio::task::spawn_local(forward(near, target, self.modes.clone()));
        }
    }
}

async fn forward(mut near: TcpStream, target: SocketAddr, modes: watch::Receiver<Mode>) {
    let Ok(mut far) = TcpStream::connect(target).await else {
        return;
    };
    let is_reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            is_reset = pass(near_read, far_write, modes.clone(), &[Mode::Silent]) => is_reset,
            is_reset = pass(far_read, near_write, modes, &[Mode::Silent, Mode::Mute]) => is_reset,
        }
    };
    if is_reset {
        for stream in [&near, &far] {
            let _: std::io::Result<()> = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
    }
}

/// Passes bytes on until the connection ends; true where it is to be reset.
async fn pass(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    mut modes: watch::Receiver<Mode>,
    silent: &[Mode],
) -> bool {
    let mut buffer = vec![0; BUFFER];
    loop {
        let mode = *modes.borrow_and_update();
        if mode == Mode::Reset {
            return true;
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
        if to.write_all(&buffer[..length]).await.is_err() {
            return false;
        }
    }
}
