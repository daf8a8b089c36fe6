//! Fake upstreams and a fake network relay that stand in for the systems around the gateway, for tests and
//! the quickstart.

use {
    actix_http::{
        HttpMessage as _, HttpService, Method, Payload, Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
        error::PayloadError,
    },
    actix_service::{Service as _, ServiceFactory as _},
    bytes::{Bytes, BytesMut},
    futures_util::{Stream, StreamExt as _, stream},
    serde::{Deserialize, Serialize},
    std::{
        cell::{Cell, RefCell},
        collections::BTreeMap,
        convert::Infallible,
        future::Future,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
};

use control::Control;

pub use {
    engine::Engine, engine_options::EngineOptions, fault::Fault, registry::Registry, relay::Relay,
    seen::Seen, server::serve,
};

mod control;
mod engine;
mod engine_options;
mod fault;
mod registry;
mod relay;
mod seen;
mod server;
