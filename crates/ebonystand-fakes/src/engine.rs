use super::*;

/// Stand-in for a model engine: streams numbered tokens.
#[derive(Clone)]
pub struct Engine {
    control: Control,
    options: Rc<EngineOptions>,
    running: Rc<Cell<u64>>,
}

#[derive(Deserialize)]
struct Prompt {
    #[serde(default = "Prompt::default_max_tokens")]
    max_tokens: u64,
    #[serde(default)]
    messages: Vec<serde_json::Value>,
    #[serde(default)]
    stream: bool,
}

impl Prompt {
    fn default_max_tokens() -> u64 {
        8
    }

    /// JSON text of the last message's content.
    fn echo(&self) -> Rc<str> {
        let last = self.messages.last();
        let content = last.map(|message| message["content"].to_string());
        content.unwrap_or_else(|| "null".into()).into()
    }
}

struct Running {
    done: bool,
    engine: Engine,
}

impl Drop for Running {
    fn drop(&mut self) {
        let running = &self.engine.running;
        running.set(running.get() - 1);
        if !self.done {
            self.engine.control.seen.borrow_mut().cancelled += 1;
        }
    }
}

impl Engine {
    /// A request whose body holds this closes its connection before any byte of an answer.
    pub const CRASHES: &str = "crash the engine";

    /// Engine with these speeds and no fault.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self {
            control: Control::default(),
            options: Rc::new(options),
            running: Rc::default(),
        }
    }

    /// Answers one request.
    pub async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if let Some(answer) = self.control.handle(&mut req).await {
            return answer;
        }
        let path: Box<str> = req.path().into();
        match (req.method(), &*path) {
            (&Method::GET, "/load") => server::load(self.running.get()),
            (&Method::POST, "/v1/chat/completions") => self.complete(req).await,
            _ => server::json(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    async fn complete(self, mut req: Request) -> Response<BoxBody> {
        let body = server::body(req.take_payload()).await;
        self.control.seen.borrow_mut().record(&req, &body);
        let Ok(prompt) = serde_json::from_slice::<Prompt>(&body) else {
            return server::json(StatusCode::BAD_REQUEST, &"no prompt");
        };
        self.running.set(self.running.get() + 1);
        let mut running = Running {
            done: false,
            engine: self.clone(),
        };
        if String::from_utf8_lossy(&body).contains(Self::CRASHES) {
            // Unwinds the connection's task, which closes the connection.
            std::panic::resume_unwind(Box::new("crashed"));
        }
        match self.control.fault.get() {
            Fault::Error => return server::json(StatusCode::INTERNAL_SERVER_ERROR, &"broken"),
            Fault::Silent => std::future::pending().await,
            Fault::None | Fault::Crash | Fault::Stall | Fault::Truncate => {}
        }
        if prompt.stream {
            let events = BodyStream::new(self.events(prompt.max_tokens, prompt.echo(), running));
            return Response::build(StatusCode::OK)
                .insert_header(("content-type", "text/event-stream"))
                .body(events)
                .map_into_boxed_body();
        }
        let total = self.options.token * u32::try_from(prompt.max_tokens).unwrap_or(u32::MAX);
        actix_rt::time::sleep(self.options.first_token + total).await;
        running.done = true;
        let text = (0..prompt.max_tokens)
            .map(|i| format!("t{i} "))
            .collect::<String>();
        server::json(
            StatusCode::OK,
            &serde_json::json!({
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
                "echo": prompt.messages.last().map(|message| &message["content"]),
                "model": &*self.options.name,
                "usage": {"completion_tokens": prompt.max_tokens},
            }),
        )
    }

    fn events(
        self,
        count: u64,
        echo: Rc<str>,
        running: Running,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold((0, running), move |(i, mut running)| {
            let engine = self.clone();
            let echo = Rc::clone(&echo);
            async move {
                let item = engine.event(i, count, &echo, &mut running).await?;
                Some((item, (i + 1, running)))
            }
        })
    }

    async fn event(
        &self,
        i: u64,
        count: u64,
        echo: &str,
        running: &mut Running,
    ) -> Option<Result<Bytes, std::io::Error>> {
        let options = &self.options;
        let delay = if i == 0 {
            options.first_token
        } else {
            options.token
        };
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        match self.control.fault.get() {
            Fault::Crash if i >= count / 2 => {
                return Some(Err(std::io::Error::other("crashed")));
            }
            Fault::Stall if i >= count / 2 => std::future::pending().await,
            Fault::Truncate if i >= count / 2 => return None,
            _ => {}
        }
        if i < count {
            let event = format!(
                "data: {{\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"t{i} \"}}}}],\"echo\":{echo},\"model\":\"{}\"}}\n\n",
                options.name
            );
            return Some(Ok(event.into()));
        }
        running.done = true;
        (i == count).then(|| Ok(Bytes::from_static(b"data: [DONE]\n\n")))
    }
}
