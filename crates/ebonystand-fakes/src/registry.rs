use super::*;

/// Stand-in for a plain service whose `POST` calls must not run twice: each makes a new number.
#[derive(Clone, Default)]
pub struct Registry {
    control: Control,
}

#[derive(Serialize)]
struct Issued {
    number: u64,
}

impl Registry {
    /// Answers one request.
    pub async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if let Some(answer) = self.control.handle(&mut req).await {
            return answer;
        }
        let path: Box<str> = req.path().into();
        match (req.method(), &*path) {
            (&Method::GET, "/load") => server::load(0),
            (&Method::POST, _) => self.issue(req).await,
            (&Method::GET, _) => {
                let body = Bytes::new();
                self.control.seen.borrow_mut().record(&req, &body);
                server::json(StatusCode::OK, &serde_json::json!({"found": &*path}))
            }
            _ => server::json(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    async fn issue(self, mut req: Request) -> Response<BoxBody> {
        let body = server::body(req.take_payload()).await;
        self.control.seen.borrow_mut().record(&req, &body);
        let number = self.control.seen.borrow().requests;
        match self.control.fault.get() {
            Fault::Error => server::json(StatusCode::INTERNAL_SERVER_ERROR, &"broken"),
            Fault::None => server::json(StatusCode::CREATED, &Issued { number }),
            Fault::Crash | Fault::Silent | Fault::Stall | Fault::Truncate => {
                std::future::pending().await
            }
        }
    }
}
