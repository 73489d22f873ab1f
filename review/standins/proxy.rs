//! A proxy between one balancer and discovery, which can be cut: open connections then stay open and silent, and new ones
//! bring nothing either.

use crate::record;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

#[derive(Clone)]
pub struct Proxy {
    pub name: String,
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    /// The time of the last call that came from the balancer.
    last_call: Arc<Mutex<f64>>,
}

impl Proxy {
    pub fn start(name: &str, target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let proxy = Self {
            name: name.into(),
            address: listener.local_addr().expect("bound"),
            cut: Arc::default(),
            last_call: Arc::default(),
        };
        let service = proxy.clone();
        spawn(move || {
            for near in listener.incoming().flatten() {
                let service = service.clone();
                spawn(move || service.serve(near, target));
            }
        });
        proxy
    }

    pub fn set_cut(&self, cut: bool) {
        record::line(format!(
            "proxy {}: {}",
            self.name,
            if cut { "cut" } else { "mended" }
        ));
        self.cut.store(cut, Ordering::SeqCst);
    }

    pub fn last_call(&self) -> f64 {
        *self.last_call.lock().expect("not poisoned")
    }

    fn serve(&self, near: TcpStream, target: SocketAddr) -> Option<()> {
        while self.cut.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(10));
        }
        let far = TcpStream::connect(target).ok()?;
        let (near_in, far_in) = (near.try_clone().ok()?, far.try_clone().ok()?);
        let back = self.clone();
        spawn(move || back.copy(far_in, near, false));
        self.copy(near_in, far, true)
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, is_call: bool) -> Option<()> {
        let mut chunk = [0; 16 * 1024];
        loop {
            let read = from.read(&mut chunk).unwrap_or(0);
            if is_call && read > 0 {
                *self.last_call.lock().expect("not poisoned") = record::now();
            }
            while self.cut.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(10));
            }
            if read == 0 || to.write_all(&chunk[..read]).is_err() {
                let _ = to.shutdown(Shutdown::Both);
                let _ = from.shutdown(Shutdown::Both);
                return None;
            }
        }
    }
}
