use super::*;

/// Control interface of a fake upstream: sets its injected fault and reports its request counts over HTTP.
#[derive(Clone, Default)]
pub(crate) struct Control {
    pub(crate) fault: Rc<Cell<Fault>>,
    pub(crate) seen: Rc<RefCell<Seen>>,
}

impl Control {
    /// Answers a request to the control paths `/seen` and `/control`; `None` for every other request.
    pub(crate) async fn handle_control_request(
        &self,
        req: &mut Request,
    ) -> Option<Response<BoxBody>> {
        match (req.method(), req.path()) {
            (&Method::GET, "/seen") => Some(server::respond(StatusCode::OK, &*self.seen.borrow())),
            (&Method::POST, "/control") => {
                let body = server::read_body(req.take_payload()).await;
                let fault = serde_json::from_slice(&body).unwrap_or_default();
                self.fault.set(fault);
                Some(server::respond(StatusCode::OK, &fault))
            }
            _ => None,
        }
    }
}
