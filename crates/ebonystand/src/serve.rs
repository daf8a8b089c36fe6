//! Starts the process's tasks, and ends them.

use super::*;
use {
    allowance_controller::AllowanceController,
    clock::Clock,
    ebonystand_core::ReplicaConfig,
    gateway::{GatewayController, ListController, SlotController, receive_forward, serve_call},
    group_controller::GroupController,
    group_thread::{GroupEvent, GroupThread},
    http_server::HttpBounds,
    membership_controller::MembershipController,
    node::Node,
    part_controller::PartController,
    quarantine_controller::QuarantineController,
    queue_controller::QueueController,
    route_controller::RouteController,
    signals::Signals,
    stall_controller::StallController,
    state_controller::StateController,
    system_clock::SystemClock,
    tokio::net::UdpSocket,
};

type GroupEvents = mpsc::UnboundedReceiver<GroupEvent>;

/// Sockets that are listened on.
struct Sockets {
    callers: TcpListener,
    datagrams: UdpSocket,
    operators: TcpListener,
    peers: TcpListener,
}

/// Sets up the log and serves until the process is told to stop.
pub(crate) fn run(
    settings: Settings,
    addresses_file: Option<PathBuf>,
    extension: Extension,
) -> Result {
    logger::install(&settings)?;
    let served = actix_rt::System::new().block_on(serve(settings, addresses_file, extension));
    log::logger().flush();
    served
}

/// Serves until SIGTERM, SIGINT or an operator's order to leave, then drains.
async fn serve(
    mut settings: Settings,
    addresses_file: Option<PathBuf>,
    extension: Extension,
) -> Result {
    let signals = Signals::install().context(error::Signal)?;
    let started = SystemClock::start();
    let clock: Rc<dyn Clock> = Rc::new(started);
    let (sockets, addresses) = Sockets::bind(&settings.listen).await?;
    let forwards = bind_optional(settings.gateway.forwards).await?;
    settings.gateway.forwards = forwards
        .as_ref()
        .and_then(|listener| listener.local_addr().ok());
    let surfaces = bind_surfaces(extension.surfaces).await?;
    let (thread, events) = start_group(&settings, started)?.unzip();
    let gateway = GatewayController::new(
        &settings,
        extension.dialect,
        extension.source,
        clock.now(),
        getrandom::u64().context(error::Random)?,
    );
    let node = Node::new(
        settings,
        addresses,
        sockets.datagrams,
        thread,
        clock,
        gateway,
    )?;
    let node = Rc::new(node);
    serve_http(&node, sockets.callers, sockets.operators);
    serve_gateway(&node, forwards, surfaces);
    actix_rt::spawn(reload::run(
        Rc::clone(&node),
        extension.reload,
        signals.hangup,
    ));
    actix_rt::spawn(peer_server::serve(sockets.peers, Rc::clone(&node)));
    start_controllers(&node);
    if let Some(path) = addresses_file {
        let text = serde_json::to_vec(&addresses).unwrap_or_default();
        std::fs::write(&path, text).context(error::File { path })?;
    }
    log::info!(
        vm:% = node.settings.vm, callers:% = addresses.callers,
        forwards:% = node.settings.gateway.forwards.map_or(String::new(), |at| at.to_string()),
        operators:% = addresses.operators, peers:% = addresses.peers;
        "listening"
    );
    let failure = Cell::new(None);
    let group = async {
        if let Err(error) = run_group(&node, events).await {
            log::error!(error:% = error; "the log of the configuration has failed: this VM leaves");
            failure.set(Some(error));
        }
        node.stop.notify_one();
        std::future::pending::<()>().await;
    };
    let drain = async {
        tokio::select! {
            () = node.stop.notified() => {}
            () = signals.stop.asked() => {}
        }
        node.drain().await;
    };
    tokio::select! {
        () = drain => {}
        () = group => {}
    }
    failure.take().map_or(Ok(()), Err)
}

impl Sockets {
    async fn bind(listen: &Listen) -> Result<(Self, Listen)> {
        let peers = bind(listen.peers).await?;
        let peers_address = local(&peers, listen.peers);
        let sockets = Self {
            callers: bind(listen.callers).await?,
            datagrams: UdpSocket::bind(peers_address).await.context(error::Bind {
                address: peers_address,
            })?,
            operators: bind(listen.operators).await?,
            peers,
        };
        let addresses = Listen {
            callers: local(&sockets.callers, listen.callers),
            operators: local(&sockets.operators, listen.operators),
            peers: peers_address,
        };
        Ok((sockets, addresses))
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .context(error::Bind { address })
}

fn local(listener: &TcpListener, asked: SocketAddr) -> SocketAddr {
    listener.local_addr().unwrap_or(asked)
}

async fn run_group(node: &Rc<Node>, events: Option<GroupEvents>) -> Result {
    match events {
        Some(events) => GroupController::run(Rc::clone(node), events).await,
        None => std::future::pending().await,
    }
}

fn serve_http(node: &Rc<Node>, callers: TcpListener, operators: TcpListener) {
    let bounds = HttpBounds {
        connections: node.settings.limits.connections,
        head_timeout: node.settings.limits.head_timeout,
    };
    let for_callers = Rc::clone(node);
    if node.gateway.embedded {
        actix_rt::spawn(http_server::serve(
            callers,
            bounds,
            Rc::clone(&node.readers),
            Rc::clone(&node.listeners),
            move |req| serve_call::handle(Rc::clone(&for_callers), req),
        ));
    } else {
        actix_rt::spawn(http_server::serve(
            callers,
            bounds,
            Rc::clone(&node.readers),
            Rc::clone(&node.listeners),
            move |req| caller_api::handle(Rc::clone(&for_callers), req),
        ));
    }
    let for_operators = Rc::clone(node);
    actix_rt::spawn(http_server::serve(
        operators,
        bounds,
        Rc::clone(&node.readers),
        Rc::clone(&node.listeners),
        move |req| {
            let answer = operator_api::handle(Rc::clone(&for_operators), req);
            answer_operator(Rc::clone(&for_operators), answer)
        },
    ));
}

/// Has a request of an operator answered before this VM ends, which waits for it.
async fn answer_operator(
    node: Rc<Node>,
    answer: impl Future<Output = Response<BoxBody>>,
) -> Response<BoxBody> {
    let _operation = node.listeners.enter_operation();
    tokio::select! {
        biased;
        response = answer => response,
        () = node.ended() => {
            log::warn!("operator refused: this VM stops before the answer is known");
            let text = "this VM stops before the answer is known; what was asked for may have been done";
            respond::whole(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text.into())
        }
    }
}

/// Serves what VMs of other regions forward, and what the embedding program listens for.
fn serve_gateway(
    node: &Rc<Node>,
    forwards: Option<TcpListener>,
    surfaces: Vec<(TcpListener, Handler)>,
) {
    let bounds = HttpBounds {
        connections: node.settings.limits.connections,
        head_timeout: node.settings.limits.head_timeout,
    };
    if let Some(listener) = forwards {
        let node = Rc::clone(node);
        actix_rt::spawn(http_server::serve(
            listener,
            bounds,
            Rc::clone(&node.readers),
            Rc::clone(&node.listeners),
            move |req| receive_forward::handle(Rc::clone(&node), req),
        ));
    }
    for (listener, handler) in surfaces {
        let gateway = Gateway {
            node: Rc::clone(node),
        };
        actix_rt::spawn(http_server::serve(
            listener,
            bounds,
            Rc::clone(&node.readers),
            Rc::clone(&node.listeners),
            move |req| answer_operator(Rc::clone(&gateway.node), handler(gateway.clone(), req)),
        ));
    }
}

async fn bind_optional(address: Option<SocketAddr>) -> Result<Option<TcpListener>> {
    match address {
        Some(address) => bind(address).await.map(Some),
        None => Ok(None),
    }
}

async fn bind_surfaces(surfaces: Vec<Surface>) -> Result<Vec<(TcpListener, Handler)>> {
    let mut bound = Vec::new();
    for surface in surfaces {
        bound.push((bind(surface.address).await?, surface.handler));
    }
    Ok(bound)
}

fn start_controllers(node: &Rc<Node>) {
    actix_rt::spawn(AllowanceController::run(Rc::clone(node)));
    if node.settings.gateway.serves_callers {
        actix_rt::spawn(GatewayController::run_confirm(Rc::clone(node)));
        actix_rt::spawn(ListController::run(Rc::clone(node)));
        actix_rt::spawn(GatewayController::run_pressure(Rc::clone(node)));
        actix_rt::spawn(GatewayController::run_load(Rc::clone(node)));
        actix_rt::spawn(SlotController::run(Rc::clone(node)));
    }
    actix_rt::spawn(MembershipController::run(Rc::clone(node)));
    actix_rt::spawn(MembershipController::run_refresh(Rc::clone(node)));
    actix_rt::spawn(PartController::run(Rc::clone(node)));
    actix_rt::spawn(QuarantineController::run(Rc::clone(node)));
    actix_rt::spawn(QueueController::run(Rc::clone(node)));
    actix_rt::spawn(QueueController::run_slots(Rc::clone(node)));
    actix_rt::spawn(RouteController::run(Rc::clone(node)));
    actix_rt::spawn(StallController::run(Rc::clone(node)));
    actix_rt::spawn(StateController::run(Rc::clone(node)));
    actix_rt::spawn(StateController::run_prune(Rc::clone(node)));
}

/// Starts the replica of a VM that has a data folder and is a member.
fn start_group(
    settings: &Settings,
    started: SystemClock,
) -> Result<Option<(GroupThread, GroupEvents)>> {
    let Some(folder) = &settings.data_folder else {
        return Ok(None);
    };
    let members = settings.members.iter().cloned().collect();
    let cfg = ReplicaConfig {
        election_timeout: settings.group.election,
        may_found_group: settings.founding,
        admits_any_vm: settings.group.open,
        snapshot_threshold: settings.group.snapshot_entries,
        target_voters: settings.group.voters,
        ..ReplicaConfig::new(settings.vm.clone(), members)
    };
    let seed = getrandom::u64().context(error::Random)?;
    let group = Group::open(folder, cfg, started.now(), seed).context(error::Storage)?;
    GroupThread::start(group, started).map(Some)
}
