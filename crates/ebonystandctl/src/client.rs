use {super::*, awc::http::Method, serde::de::DeserializeOwned};

/// HTTP client of the operators' API, which fails over from one VM to the next.
pub(crate) struct Client {
    credential: Box<str>,
    http: awc::Client,
    servers: Vec<Box<str>>,
}

impl Client {
    /// Default time to connect to a VM, and to wait for its answer, in seconds.
    pub(crate) const DEFAULT_TIMEOUT_SECONDS: u64 = 10;

    /// Largest accepted size of an answer, in bytes. A document of 36,000 workspaces with their keys
    /// takes about 20 MB.
    const MAX_ANSWER_BYTES: usize = 128 << 20;
    const REQUEST_ID_BYTES: usize = 16;

    pub(crate) fn new(servers: Vec<Box<str>>, credential: Box<str>, timeout: Duration) -> Self {
        let connector = awc::Connector::new().timeout(timeout);
        let http = awc::Client::builder().timeout(timeout).connector(connector);
        Self {
            credential,
            http: http.finish(),
            servers,
        }
    }

    /// Sends a change to one VM after another until one answers, and returns the version that the
    /// change created.
    ///
    /// Every VM gets the same request id. If the answer of the first VM is lost and the second VM
    /// proposes the change again, the log returns the outcome of the first proposal and does not
    /// apply the change twice.
    pub(crate) async fn change(&self, change: Change, args: &ChangeArgs) -> Result<Version> {
        let expected_version = match args.expected_version {
            Some(version) => version,
            None => self.status().await?.version,
        };
        let request_id = match &args.request_id {
            Some(id) => id.clone(),
            None => random_hex::<{ Self::REQUEST_ID_BYTES }>()?.into(),
        };
        let req = ChangeRequest {
            change,
            expected_version: Some(expected_version),
            request_id: request_id.clone(),
        };
        let outcome = self
            .send_with_failover(&Method::POST, OPERATOR_CHANGES, Some(&req))
            .await;
        match outcome {
            Ok(ChangeOutcome::Accepted { version }) => Ok(version),
            Ok(ChangeOutcome::Conflict { version }) => error::ConflictSnafu { version }.fail(),
            Ok(ChangeOutcome::Refused { faults }) => error::RefusedSnafu { faults }.fail(),
            Err(Error::Unreachable { attempts })
                if attempts.iter().any(AttemptError::may_have_run) =>
            {
                error::UnknownSnafu {
                    expected_version,
                    request_id,
                }
                .fail()
            }
            Err(error) => Err(error),
        }
    }

    pub(crate) async fn clear_quarantine(
        &self,
        fingerprint: &str,
    ) -> Result<QuarantineClearStatus> {
        let path = format!("{OPERATOR_QUARANTINE_CLEAR}{}", percent_encode(fingerprint));
        self.send_with_failover(&Method::POST, &path, None::<&()>)
            .await
    }

    pub(crate) async fn clear_part(&self, part: &str) -> Result<PartClearStatus> {
        let path = format!("{OPERATOR_QUARANTINE_CLEAR_PART}{}", percent_encode(part));
        self.send_with_failover(&Method::POST, &path, None::<&()>)
            .await
    }

    pub(crate) async fn document(&self) -> Result<Document> {
        self.send_with_failover(&Method::GET, OPERATOR_DOCUMENT, None::<&()>)
            .await
    }

    pub(crate) async fn drain(&self) -> Result<DrainStatus> {
        self.send_with_failover(&Method::POST, OPERATOR_DRAIN, None::<&()>)
            .await
    }

    pub(crate) async fn status(&self) -> Result<OperatorStatus> {
        self.send_with_failover(&Method::GET, OPERATOR_STATUS, None::<&()>)
            .await
    }

    pub(crate) async fn withdraw(&self, key: &KeyId) -> Result<WithdrawalStatus> {
        let path = format!("{OPERATOR_WITHDRAW}{}", percent_encode(key));
        match self
            .send_with_failover(&Method::POST, &path, None::<&()>)
            .await
        {
            Err(Error::Unreachable { attempts })
                if attempts.iter().any(AttemptError::may_have_run) =>
            {
                error::UnknownWithdrawalSnafu { key: key.clone() }.fail()
            }
            outcome => outcome,
        }
    }

    /// Sends a request to one VM. The outer error ends the command; after the inner one, the next VM
    /// can be tried.
    async fn send_to<B: Serialize, T: DeserializeOwned>(
        &self,
        server: &str,
        method: &Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<Result<T, AttemptError>> {
        let req = self
            .http
            .request(method.clone(), format!("{server}{path}"))
            .bearer_auth(&self.credential);
        let answer = match body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        };
        let mut answer = match answer {
            Ok(answer) => answer,
            Err(source) => return Ok(Err(AttemptError::from_send_error(server, source))),
        };
        let status = answer.status().as_u16();
        let unrecognized = || attempt_error::UnrecognizedAnswerSnafu { server, status }.build();
        let Ok(bytes) = answer.body().limit(Self::MAX_ANSWER_BYTES).await else {
            return Ok(Err(unrecognized()));
        };
        if let Ok(source) = serde_json::from_slice::<OperatorError>(&bytes) {
            return match source {
                OperatorError::NoLeader { .. } => Ok(Err(AttemptError::NoLeader {
                    server: server.into(),
                    source,
                })),
                _ => Err(source).context(error::ServerSnafu { server }),
            };
        }
        Ok(serde_json::from_slice(&bytes).map_err(|_| unrecognized()))
    }

    /// Sends a request to one VM after another until one answers. A refusal counts as an answer.
    async fn send_with_failover<B: Serialize, T: DeserializeOwned>(
        &self,
        method: &Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T> {
        let mut attempts = Vec::new();
        for server in &self.servers {
            match self.send_to(server, method, path, body).await? {
                Ok(answer) => return Ok(answer),
                Err(error) => attempts.push(error),
            }
        }
        error::UnreachableSnafu { attempts }.fail()
    }
}

fn percent_encode(text: &str) -> String {
    let encode = |byte: u8| match byte {
        b'0'..=b'9' | b'A'..=b'Z' | b'a'..=b'z' | b'-' | b'.' | b'_' | b'~' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}
