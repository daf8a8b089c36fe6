use super::*;

/// Logs that the change of a zone's evacuation was abandoned, unless it is disarmed. The HTTP server
/// drops the handler of a request when its caller closes the connection.
pub(crate) struct AbandonmentLog {
    zone: Option<ZoneId>,
}

impl AbandonmentLog {
    pub(crate) fn new(zone: &str) -> Self {
        let zone = Some(zone.into());
        Self { zone }
    }

    pub(crate) fn disarm(mut self) {
        self.zone = None;
    }
}

impl Drop for AbandonmentLog {
    fn drop(&mut self) {
        if let Some(zone) = &self.zone {
            log::info!(zone:% = zone; "change of an evacuation abandoned: its caller has left");
        }
    }
}
