use super::*;

/// Fake service whose `POST` calls must not run twice: each call issues a new number.
#[derive(Clone, Default)]
pub struct Registry {
    control: Control,
}

/// Answer to a `POST` call, with the number issued by the call.
#[derive(Serialize)]
struct Issued {
    number: u64,
}

impl Registry {
    /// Answers one HTTP request: control paths, the load report, lookups with `GET` and issues with `POST`.
    pub async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if let Some(answer) = self.control.handle_control_request(&mut req).await {
            return answer;
        }
        let path: Box<str> = req.path().into();
        match (req.method(), &*path) {
            (&Method::GET, "/load") => server::report_load(0),
            (&Method::POST, _) => self.issue_number(req).await,
            (&Method::GET, _) => {
                let body = Bytes::new();
                self.control.seen.borrow_mut().record(&req, &body);
                server::respond(StatusCode::OK, &serde_json::json!({"found": &*path}))
            }
            _ => server::respond(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    async fn issue_number(self, mut req: Request) -> Response<BoxBody> {
        let body = server::read_body(req.take_payload()).await;
        self.control.seen.borrow_mut().record(&req, &body);
        let number = self.control.seen.borrow().requests;
        match self.control.fault.get() {
            Fault::Error => server::respond(StatusCode::INTERNAL_SERVER_ERROR, &"broken"),
            Fault::None => server::respond(StatusCode::CREATED, &Issued { number }),
            Fault::Crash | Fault::Silent | Fault::Stall | Fault::Truncate => {
                std::future::pending().await
            }
        }
    }
}
