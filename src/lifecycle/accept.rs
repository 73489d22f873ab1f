//! Accepts client connections, except while another process of the balancer accepts them.

use crate::invariants;
use crate::proxy::client_reader::ClientReader;
use crate::proxy::{client, local_response};
use crate::runtime::Runtime;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Pause after a failed accept. If no descriptor was free, one becomes free when a connection ends.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts clients whenever the lifecycle state allows it, until the process exits.
pub async fn run(runtime: Rc<Runtime>, listener: TcpListener) {
    let mut accepting = runtime.lifecycle.subscribe_accepting();
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return;
        }
        let accepted = tokio::select! {
            biased;
            _ = accepting.changed() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                serve(&runtime, stream);
                // At the descriptor limit, lets the evicted connection close before the next client is accepted.
                yield_now().await;
            }
            Err(error) => {
                invariants::count("accepting a client failed");
                tracing::debug!(%error, "client not accepted");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves a client, or rejects it if no descriptor can be freed for it.
fn serve(runtime: &Rc<Runtime>, stream: TcpStream) {
    let limit = runtime.descriptor_limit();
    let Some(permit) = runtime.connection_limit.acquire_for_client(limit) else {
        let runtime = runtime.clone();
        spawn_local(async move { local_response::reject_for_descriptors(&runtime, &stream).await });
        return;
    };
    let reader = ClientReader::new(runtime);
    let serve = client::serve(runtime.clone(), stream, permit, reader);
    drop(spawn_local(serve));
}
