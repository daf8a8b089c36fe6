//! The gateway's daemon: turns sockets, timers and files into the core's inputs, and its outputs
//! back into them. It decides nothing itself.

use {
    actix_http::{
        HttpMessage as _, HttpService, Method, Payload, Request, Response, StatusCode,
        body::{BodyStream, BoxBody},
        header::HeaderMap,
    },
    actix_service::{Service as _, ServiceFactory as _},
    bytes::{Bytes, BytesMut},
    clap::{Arg, ArgMatches, Command, value_parser},
    ebonystand_core::{
        ChangeOutcome, ChangeRequest, Document, DurableState, Incarnation, KeyHash, KeyId,
        LogEntry, LogIndex, LogRecord, LogSnapshot, PersistToken, ProposalError, ProposalId,
        Refusal, RefusalCode, RegionId, Replica, ReplicaConfig, ReplicaInput, ReplicaMessage,
        ReplicaOutput, RunState, ServiceId, Tokens, Upstream, UpstreamId, Version, VmId, Workspace,
        WorkspaceId, ZoneId,
    },
    ebonystand_wire::{FrameReader, FrameWriter, Hello, Nonce, PeerMessage, Secret},
    files::{FULL_PAUSE, replace_file},
    futures_util::{Stream, StreamExt as _, stream},
    record_log::RecordLog,
    rustc_hash::FxHashMap,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::Value,
    snafu::{OptionExt, ResultExt as _, Snafu, ensure},
    snapshot_file::SnapshotFile,
    std::{
        cell::{Cell, Ref, RefCell},
        convert::Infallible,
        fmt,
        fs::{self, File},
        future::Future,
        io::{self, ErrorKind, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
        rc::Rc,
        time::{Duration, Instant, SystemTime},
    },
    storage_error::*,
    tokio::{
        io::{AsyncReadExt as _, AsyncWriteExt as _},
        net::{TcpListener, TcpStream},
        sync::{mpsc, oneshot},
    },
};

pub use {
    caller_presence::CallerPresence,
    error::Error,
    files::once_there_is_room,
    gateway::{
        AnswerMarks, CallHead, ConnectionFault, Dialect, Extension, Fetch, FetchError, Gateway,
        GatewaySettings, Handler, OutgoingCall, ReadEnd, ReplaceError, Surface, UpstreamRead,
        UpstreamSource, header_resumption, header_text, passed_on, set_header,
    },
    group::Group,
    group_effect::GroupEffect,
    group_settings::GroupSettings,
    limits::Limits,
    listen::Listen,
    log_settings::LogSettings,
    resources::Resources,
    run::{run, run_with},
    settings::Settings,
    settings_fault::SettingsFault,
    storage::Storage,
    storage_error::StorageError,
    write_moving::write_moving,
};

mod admitted_request;
mod allowance_controller;
mod answer_buffers;
mod attempt;
mod authenticate;
mod body;
mod call_service;
mod caller;
mod caller_api;
mod caller_connection;
mod caller_presence;
mod capacity_controller;
mod chat_request;
mod check_residency;
mod client_pool;
mod clock;
mod close_delimited;
mod complete;
mod config;
mod deadline;
mod dispatch;
mod error;
mod files;
mod gateway;
mod group;
mod group_controller;
mod group_effect;
mod group_settings;
mod group_thread;
mod http_server;
mod in_flight;
mod limits;
mod listen;
mod listeners;
mod log_settings;
mod log_writer;
mod logger;
mod loop_guard;
mod may_have_run;
mod membership_controller;
mod metrics;
mod node;
mod operator_api;
mod operator_status;
mod order_controller;
mod part_controller;
mod peer_link;
mod peer_server;
mod peers;
mod pooled_client;
mod quarantine_controller;
mod queue_controller;
mod record_log;
mod relay;
mod reload;
mod resources;
mod respond;
mod retry_permit;
mod route_controller;
mod run;
mod segmented_buffer;
mod serve;
mod settings;
mod settings_fault;
mod settings_reader;
mod signals;
mod slow_readers;
mod snapshot_file;
mod stall_controller;
mod state_controller;
mod storage;
mod storage_error;
mod subcommand;
mod system_clock;
mod write_moving;

/// Result of the daemon's own operations.
pub type Result<T = (), E = Error> = std::result::Result<T, E>;
