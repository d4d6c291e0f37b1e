//! A stand-in server: one thread for each connection, ended at once when the stand-in is stopped.

use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::Request;
use crate::http::read_request;

/// The interval at which new connections are accepted.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Handles one request; returns whether the connection is kept.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> std::io::Result<bool> + Send + Sync>;

/// A server that runs until it is stopped.
pub struct Server {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Starts a server at an address; port 0 picks a free one.
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let server = Server {
            address: listener.local_addr()?,
            is_stopped: Arc::default(),
            connections: Arc::default(),
        };
        let (is_stopped, connections) = (Arc::clone(&server.is_stopped), Arc::clone(&server.connections));
        std::thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    connections.lock().unwrap().push(copy);
                }
                let handler = Arc::clone(&handler);
                std::thread::spawn(move || {
                    let _ = serve(stream, handler);
                });
            }
        });
        Ok(server)
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the server like a process that is killed: connections break, and new ones are refused.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        std::thread::sleep(2 * ACCEPT_INTERVAL);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

fn serve(mut stream: TcpStream, handler: Handler) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        if !handler(&request, &mut stream)? {
            break;
        }
    }
    stream.shutdown(Shutdown::Both)
}
