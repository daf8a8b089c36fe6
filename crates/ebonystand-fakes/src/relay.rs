use super::*;

/// TCP relay in front of a fake upstream that can silence its connections, as a network that drops their
/// packets does: they stay open but carry nothing more, while new ones work.
#[derive(Clone, Debug)]
pub struct Relay {
    silence_count: Rc<Cell<u64>>,
    target: SocketAddr,
}

impl Relay {
    /// Creates a relay that connects to the address `target`.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            silence_count: Rc::default(),
            target,
        }
    }

    /// Relays each connection that `listener` accepts, until accepting fails.
    pub async fn serve(self, listener: TcpListener) {
        while let Ok((from, _)) = listener.accept().await {
            let relay = self.clone();
            actix_rt::spawn(async move { relay.relay_connection(from).await });
        }
    }

    /// Stops all traffic on the connections that are open now, permanently and without closing them.
    pub fn silence(&self) {
        self.silence_count.set(self.silence_count.get() + 1);
    }

    async fn relay_connection(self, mut from: TcpStream) {
        let silence_count = self.silence_count.get();
        let Ok(mut to) = TcpStream::connect(self.target).await else {
            return;
        };
        let silenced = async {
            while self.silence_count.get() == silence_count {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let copied = tokio::io::copy_bidirectional(&mut from, &mut to);
        futures_util::pin_mut!(copied, silenced);
        if let futures_util::future::Either::Right(_) =
            futures_util::future::select(copied, silenced).await
        {
            std::future::pending::<()>().await;
        }
    }
}
