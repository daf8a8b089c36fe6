use super::*;
use {node::Node, peer_link::PeerLink};

/// Connections to other VMs, opened when there is something to say.
pub(crate) struct Peers {
    links: RefCell<FxHashMap<SocketAddr, PeerLink>>,
    pub(crate) secret: Secret,
}

impl Peers {
    pub(crate) fn new(secret: Secret) -> Self {
        Self {
            links: RefCell::default(),
            secret,
        }
    }

    /// Forgets links that have ended.
    pub(crate) fn prune(&self) {
        self.links.borrow_mut().retain(|_, link| link.open());
    }

    /// Sends a message, or drops it if the VM does not keep up: each protocol between VMs
    /// tolerates a lost message.
    pub(crate) fn send(&self, node: &Node, to: SocketAddr, message: PeerMessage) {
        let mut links = self.links.borrow_mut();
        if links.get(&to).is_some_and(|link| !link.open()) {
            links.remove(&to);
        }
        let link = links.entry(to).or_insert_with(|| {
            let hello = Hello {
                incarnation: node.incarnation,
                peer: node.addresses.peers,
                vm: node.settings.vm.clone(),
            };
            PeerLink::open_to(to, hello, self.secret.clone())
        });
        link.send(message);
    }
}
