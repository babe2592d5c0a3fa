//! Whether the process of a server has ended.

use std::io::ErrorKind;
use std::time::Duration;
use tokio::net::TcpStream;

/// Pauses before the tries: a process that ends closes its connections and its
/// listening socket within moments of each other, in any order.
const PAUSES: [Duration; 2] = [Duration::from_millis(10), Duration::from_millis(150)];
/// Time that a try may take. A machine that is cut off or has no power says nothing;
/// such a server was lost, and no request ended it as far as can be told.
const CONNECT_TIME: Duration = Duration::from_millis(400);

/// Whether nothing listens at a server's address any more, so that its machine refuses
/// connections.
pub(super) async fn has_ended(address: &str) -> bool {
    for pause in PAUSES {
        if refuses_connections_after(pause, address).await {
            return true;
        }
    }
    false
}

/// Whether a server whose connection has just been closed refuses new ones.
pub(crate) async fn has_just_ended(address: &str) -> bool {
    refuses_connections_after(PAUSES[0], address).await
}

async fn refuses_connections_after(pause: Duration, address: &str) -> bool {
    tokio::time::sleep(pause).await;
    let tried = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
    matches!(tried, Ok(Err(fault)) if fault.kind() == ErrorKind::ConnectionRefused)
}
