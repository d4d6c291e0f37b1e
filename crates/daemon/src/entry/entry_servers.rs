use std::time::Duration;

use axum::Router;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The maximum time for which a shutdown waits for responses of the administration API, in
/// milliseconds.
const ADMIN_CLOSE_MS: u64 = 5_000;

/// The HTTP servers of an entry.
pub struct EntryServers {
    is_closing: watch::Sender<bool>,
    public: Mutex<JoinHandle<()>>,
    admin: Mutex<JoinHandle<()>>,
}

impl EntryServers {
    /// Starts a server for each of the two listeners with its routes.
    pub(super) fn start(
        (public, caller_routes): (TcpListener, Router),
        (admin, admin_routes): (TcpListener, Router),
    ) -> EntryServers {
        let is_closing = watch::Sender::new(false);
        EntryServers {
            public: Mutex::new(spawn_server(public, caller_routes, &is_closing)),
            admin: Mutex::new(spawn_server(admin, admin_routes, &is_closing)),
            is_closing,
        }
    }

    /// Closes the listeners and waits until every response to a caller has been sent.
    ///
    /// Responses of the administration API are waited for at most 5 s.
    pub async fn close(&self) {
        self.is_closing.send_replace(true);
        // The server task returns no result.
        let _ = (&mut *self.public.lock().await).await;
        let timeout = Duration::from_millis(ADMIN_CLOSE_MS);
        let _ = tokio::time::timeout(timeout, &mut *self.admin.lock().await).await;
    }

    /// Closes the listeners immediately; responses in progress are cut off when the process exits.
    pub fn abort(&self) {
        for server in [&self.public, &self.admin] {
            if let Ok(server) = server.try_lock() {
                server.abort();
            }
        }
    }
}

fn spawn_server(
    listener: TcpListener,
    router: Router,
    is_closing: &watch::Sender<bool>,
) -> JoinHandle<()> {
    let mut closing = is_closing.subscribe();
    tokio::spawn(async move {
        let signal = async move {
            let _ = closing.wait_for(|is_closing| *is_closing).await;
        };
        let server = axum::serve(listener, router).with_graceful_shutdown(signal);
        // `axum::serve` retries failed accepts itself and does not return an error.
        let _ = server.await;
    })
}
