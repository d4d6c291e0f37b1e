use std::time::Duration;

use axum::Router;
use tokio::net::TcpListener;
use tokio::sync::Mutex;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The time that a stopping process waits for answers of the administration API, in milliseconds.
const ADMIN_CLOSE_MS: u64 = 5_000;

/// The running listeners of an entry.
pub struct EntryServers {
    is_closing: watch::Sender<bool>,
    public: Mutex<JoinHandle<()>>,
    admin: Mutex<JoinHandle<()>>,
}

impl EntryServers {
    /// Serves the routes of callers and of the administration API.
    pub(super) fn start(
        (public, callers): (TcpListener, Router),
        (admin, operators): (TcpListener, Router),
    ) -> EntryServers {
        let is_closing = watch::Sender::new(false);
        EntryServers {
            public: Mutex::new(spawn_server(public, callers, &is_closing)),
            admin: Mutex::new(spawn_server(admin, operators, &is_closing)),
            is_closing,
        }
    }

    /// Closes the listeners and waits until every answer to a caller was sent.
    pub async fn close(&self) {
        self.is_closing.send_replace(true);
        // A server task ends without a result; a second call finds it ended.
        let _ = (&mut *self.public.lock().await).await;
        let wait = Duration::from_millis(ADMIN_CLOSE_MS);
        let _ = tokio::time::timeout(wait, &mut *self.admin.lock().await).await;
    }

    /// Closes the listeners at once; answers under way break off when the process exits.
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
        // `axum::serve` retries failed accepts itself and returns no error.
        let _ = server.await;
    })
}
