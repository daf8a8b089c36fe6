use {serde::de::DeserializeOwned, serde_json::Value, std::time::Duration};

/// What a caller or operator got.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) body: String,
    pub(crate) retry_after: Option<u64>,
    pub(crate) status: u16,
}

impl Answer {
    pub(crate) fn code(&self) -> String {
        self.field("code")
    }

    pub(crate) fn json<T: DeserializeOwned>(&self) -> T {
        match serde_json::from_str(&self.body) {
            Ok(value) => value,
            Err(error) => panic!("{error}: {}", self.body),
        }
    }

    /// Time after which a refusal tells the caller to come back.
    pub(crate) fn return_time(&self) -> Duration {
        let body = self.json::<Value>();
        let ms = body["error"]["retry_after_ms"].as_u64();
        Duration::from_millis(ms.unwrap_or_default())
    }

    pub(crate) fn run(&self) -> String {
        self.field("run")
    }

    pub(crate) fn whole_stream(&self) -> bool {
        self.status == 200 && self.body.ends_with("data: [DONE]\n\n")
    }

    fn field(&self, name: &str) -> String {
        let body = self.json::<Value>();
        body["error"][name].as_str().unwrap_or_default().to_owned()
    }
}
