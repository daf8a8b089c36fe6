use super::*;

/// Addresses that the VM listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators and for the collection of metrics.
    pub operators: SocketAddr,
    /// TCP and UDP for other VMs.
    pub peers: SocketAddr,
}

impl Listen {
    pub(crate) fn read(reader: &mut SettingsReader) -> Option<Self> {
        let callers = reader.required("callers");
        let operators = reader.required("operators");
        let peers = reader.required("peers");
        Some(Self {
            callers: callers?,
            operators: operators?,
            peers: peers?,
        })
    }
}

use settings_reader::SettingsReader;
