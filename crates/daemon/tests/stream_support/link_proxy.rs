use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

/// The delay and the faults of a link.
#[derive(Clone, Copy, Eq, PartialEq)]
pub(crate) struct LinkState {
    /// The one-way delay of each chunk.
    pub(crate) delay: Duration,
    /// Connections with a lower number no longer forward data, but stay open.
    pub(crate) silent_below: u64,
    /// Whether all connections hold back their data, until the link is unfrozen.
    pub(crate) is_frozen: bool,
    /// Whether data from the listener is held back, while data to it passes.
    pub(crate) is_answer_blocked: bool,
    /// Connections with a lower number are closed.
    pub(crate) closed_below: u64,
    /// Whether all connections are closed and new ones refused.
    pub(crate) is_killed: bool,
}

/// One direction of a connection.
#[derive(Clone, Copy)]
struct LinkDirection {
    /// The number of the connection, counted from 0 in the order of acceptance.
    number: u64,
    /// Whether the data comes from the listener.
    is_answer: bool,
}

/// A TCP proxy in front of a listener, with a delay and injected faults.
pub(crate) struct LinkProxy {
    pub(crate) address: SocketAddr,
    state: watch::Sender<LinkState>,
    opened: watch::Sender<u64>,
    /// The number of chunks forwarded in both directions.
    pub(crate) chunks: Arc<AtomicU64>,
}

impl LinkProxy {
    /// Starts a proxy to `target` on a free port.
    pub(crate) async fn start(target: SocketAddr, delay: Duration) -> Arc<LinkProxy> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let proxy = Arc::new(LinkProxy {
            address: listener.local_addr().unwrap(),
            state: watch::Sender::new(LinkState {
                delay,
                silent_below: 0,
                is_frozen: false,
                is_answer_blocked: false,
                closed_below: 0,
                is_killed: false,
            }),
            opened: watch::Sender::new(0),
            chunks: Arc::default(),
        });
        tokio::spawn(accept(listener, target, proxy.clone()));
        proxy
    }

    /// Sets the one-way delay of later chunks.
    pub(crate) fn set_delay(&self, delay: Duration) {
        self.state.send_modify(|state| state.delay = delay);
    }

    /// Holds back the data of all connections, or releases it again.
    pub(crate) fn set_frozen(&self, is_frozen: bool) {
        self.state.send_modify(|state| state.is_frozen = is_frozen);
    }

    /// Holds back the data from the listener while requests pass, or releases it again.
    pub(crate) fn set_answer_blocked(&self, is_answer_blocked: bool) {
        self.state
            .send_modify(|state| state.is_answer_blocked = is_answer_blocked);
    }

    /// Closes the open connections; new ones are not affected.
    pub(crate) fn reset_connections(&self) {
        let opened = *self.opened.borrow();
        self.state.send_modify(|state| state.closed_below = opened);
    }

    /// Closes every connection and refuses new ones.
    pub(crate) fn kill(&self) {
        self.state.send_modify(|state| state.is_killed = true);
    }

    pub(crate) fn is_killed(&self) -> bool {
        self.state.borrow().is_killed
    }

    /// Stops forwarding on the open connections without closing them; new ones are not affected.
    pub(crate) fn silence_connections(&self) {
        let opened = *self.opened.borrow();
        self.state.send_modify(|state| state.silent_below = opened);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, proxy: Arc<LinkProxy>) {
    let mut state = proxy.state.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The return drops the listener, after which new connections are refused.
            _ = state.wait_for(|state| state.is_killed) => return,
        };
        let Ok((near, _)) = accepted else {
            return;
        };
        let number = *proxy.opened.borrow();
        proxy.opened.send_modify(|count| *count += 1);
        let proxy = proxy.clone();
        tokio::spawn(async move {
            let Ok(far) = TcpStream::connect(target).await else {
                return;
            };
            near.set_nodelay(true).unwrap();
            far.set_nodelay(true).unwrap();
            let (near_in, near_out) = near.into_split();
            let (far_in, far_out) = far.into_split();
            let mut closed = proxy.state.subscribe();
            let direction = |is_answer| LinkDirection { number, is_answer };
            let is_closed = |state: &LinkState| state.is_killed || number < state.closed_below;
            tokio::select! {
                () = forward(near_in, far_out, proxy.state.subscribe(), direction(false), proxy.chunks.clone()) => {}
                () = forward(far_in, near_out, proxy.state.subscribe(), direction(true), proxy.chunks.clone()) => {}
                _ = closed.wait_for(is_closed) => {}
            }
        });
    }
}

/// Waits until `due` more precisely than the runtime's timer, whose resolution is 1 ms.
async fn wait_until_due(due: Instant) {
    if due > Instant::now() + Duration::from_millis(2) {
        tokio::time::sleep_until(due - Duration::from_millis(2)).await;
    }
    while Instant::now() < due {
        tokio::task::yield_now().await;
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    direction: LinkDirection,
    chunks_sent: Arc<AtomicU64>,
) {
    let (sender, mut chunks) = mpsc::unbounded_channel::<(Instant, Vec<u8>)>();
    let delays = state.clone();
    let reading = async move {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(size) = from.read(&mut buffer).await {
            let due = Instant::now() + delays.borrow().delay;
            if size == 0 || sender.send((due, buffer[..size].to_vec())).is_err() {
                return;
            }
        }
    };
    let writing = async move {
        while let Some((due, chunk)) = chunks.recv().await {
            wait_until_due(due).await;
            chunks_sent.fetch_add(1, Ordering::Relaxed);
            let passes = |state: &LinkState| {
                let is_held = state.is_frozen || state.is_answer_blocked && direction.is_answer;
                !is_held && direction.number >= state.silent_below
            };
            if state.wait_for(passes).await.is_err() || to.write_all(&chunk).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(reading, writing);
}
