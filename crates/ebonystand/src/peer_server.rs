//! Accepts connections of other VMs.

use super::*;
use node::Node;

/// A connection that says nothing for longer is closed; its other end pings more often.
const SILENCE: Duration = Duration::from_secs(15);
/// Most connections of VMs, and of strangers who have not yet shown the secret.
const CONNECTIONS: usize = 4_096;
const PONG: u8 = 1;

pub(crate) async fn serve(listener: TcpListener, node: Rc<Node>) {
    let connections = Rc::new(Cell::new(0));
    loop {
        let Ok((io, _)) = listener.accept().await else {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let Some(guard) = in_flight::InFlight::enter(&connections, CONNECTIONS) else {
            continue;
        };
        let node = Rc::clone(&node);
        actix_rt::spawn(async move {
            let _guard = guard;
            receive(io, &node).await;
        });
    }
}

async fn receive(mut io: TcpStream, node: &Rc<Node>) {
    let mut nonce = [0; Nonce::LEN];
    if getrandom::fill(&mut nonce).is_err() || io.write_all(&nonce).await.is_err() {
        return;
    }
    let mut reader = FrameReader::new(node.peers.secret.clone(), Nonce::from(nonce));
    let mut hello: Option<Hello> = None;
    loop {
        loop {
            match reader.next_message() {
                Ok(None) => break,
                Ok(Some(PeerMessage::Hello(from))) => hello = Some(from),
                Ok(Some(PeerMessage::Ping)) => {
                    if io.write_all(&[PONG]).await.is_err() {
                        return;
                    }
                }
                Ok(Some(message)) => {
                    let Some(from) = &hello else { return };
                    node.receive(&from.vm, message);
                }
                Err(error) => {
                    node.metrics.peer_refused.inc();
                    log::warn!(error:% = error; "connection of a VM closed");
                    return;
                }
            }
        }
        let read = actix_rt::time::timeout(SILENCE, io.read_buf(reader.buf())).await;
        match read {
            Ok(Ok(len)) if len > 0 => {}
            _ => return,
        }
    }
}
