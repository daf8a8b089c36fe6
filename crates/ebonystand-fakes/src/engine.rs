use super::*;

/// Fake model engine that answers each completion request with as many numbered tokens as the request
/// allows, streamed or whole.
#[derive(Clone)]
pub struct Engine {
    control: Control,
    options: Rc<EngineOptions>,
    running: Rc<Cell<u64>>,
}

/// Body of a completion request, as far as the fake engine reads it.
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

    /// Returns the content of the last message as JSON text, which the answer repeats.
    fn content_to_echo(&self) -> Rc<str> {
        let last = self.messages.last();
        let content = last.map(|message| message["content"].to_string());
        content.unwrap_or_else(|| "null".into()).into()
    }
}

/// Guard that counts a request as running until it is dropped, and as cancelled if it is dropped before the
/// completion is whole, which includes requests that a fault answers with an error.
struct RunningRequest {
    is_finished: bool,
    engine: Engine,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let running = &self.engine.running;
        running.set(running.get() - 1);
        if !self.is_finished {
            self.engine.control.seen.borrow_mut().cancelled += 1;
        }
    }
}

impl Engine {
    /// Text that simulates a crash: a request whose body contains it has its connection closed before any
    /// byte of the answer.
    pub const CRASH_TRIGGER: &str = "crash the engine";

    /// Creates an engine with `options` and no fault.
    #[must_use]
    pub fn new(options: EngineOptions) -> Self {
        Self {
            control: Control::default(),
            options: Rc::new(options),
            running: Rc::default(),
        }
    }

    /// Answers one HTTP request: control paths, the load report and chat completions.
    pub async fn handle(self, mut req: Request) -> Response<BoxBody> {
        if let Some(answer) = self.control.handle_control_request(&mut req).await {
            return answer;
        }
        let path: Box<str> = req.path().into();
        match (req.method(), &*path) {
            (&Method::GET, "/load") => server::report_load(self.running.get()),
            (&Method::POST, "/v1/chat/completions") => self.handle_completion(req).await,
            _ => server::respond(StatusCode::NOT_FOUND, &"no such path"),
        }
    }

    async fn handle_completion(self, mut req: Request) -> Response<BoxBody> {
        let body = server::read_body(req.take_payload()).await;
        self.control.seen.borrow_mut().record(&req, &body);
        let Ok(prompt) = serde_json::from_slice::<Prompt>(&body) else {
            return server::respond(StatusCode::BAD_REQUEST, &"no prompt");
        };
        self.running.set(self.running.get() + 1);
        let mut running = RunningRequest {
            is_finished: false,
            engine: self.clone(),
        };
        if String::from_utf8_lossy(&body).contains(Self::CRASH_TRIGGER) {
            // Unwinding ends the connection's task, which closes the connection as a crashing engine would.
            std::panic::resume_unwind(Box::new("crashed"));
        }
        match self.control.fault.get() {
            Fault::Error => return server::respond(StatusCode::INTERNAL_SERVER_ERROR, &"broken"),
            Fault::Silent => std::future::pending().await,
            Fault::None | Fault::Crash | Fault::Stall | Fault::Truncate => {}
        }
        if prompt.stream {
            let events = BodyStream::new(self.stream_events(
                prompt.max_tokens,
                prompt.content_to_echo(),
                running,
            ));
            return Response::build(StatusCode::OK)
                .insert_header(("content-type", "text/event-stream"))
                .body(events)
                .map_into_boxed_body();
        }
        let total = self.options.token * u32::try_from(prompt.max_tokens).unwrap_or(u32::MAX);
        actix_rt::time::sleep(self.options.first_token + total).await;
        running.is_finished = true;
        let text = (0..prompt.max_tokens)
            .map(|i| format!("t{i} "))
            .collect::<String>();
        server::respond(
            StatusCode::OK,
            &serde_json::json!({
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
                "echo": prompt.messages.last().map(|message| &message["content"]),
                "model": &*self.options.name,
                "usage": {"completion_tokens": prompt.max_tokens},
            }),
        )
    }

    /// Returns the events of a streamed answer with `count` tokens, subject to the injected fault.
    fn stream_events(
        self,
        count: u64,
        echo: Rc<str>,
        running: RunningRequest,
    ) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold((0, running), move |(i, mut running)| {
            let engine = self.clone();
            let echo = Rc::clone(&echo);
            async move {
                let item = engine.next_event(i, count, &echo, &mut running).await?;
                Some((item, (i + 1, running)))
            }
        })
    }

    /// Waits for token `i` and returns its event, or `[DONE]` after the last token; `None` ends the stream.
    async fn next_event(
        &self,
        i: u64,
        count: u64,
        echo: &str,
        running: &mut RunningRequest,
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
        running.is_finished = true;
        (i == count).then(|| Ok(Bytes::from_static(b"data: [DONE]\n\n")))
    }
}
