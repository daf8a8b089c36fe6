use {
    crate::{event::Event, run::World, vm::OPERATOR},
    awc::Client,
    ebonystand_core::{
        CallKind, Change, ChangeOutcome, ChangeRequest, GatewayRoute, GatewayService,
        GatewayWorkspace, OperatorStatus, Quota, QuotaUnit, Routing, SplitPart,
    },
    std::{rc::Rc, time::Duration},
};

/// Routes that each routing has more than the one before.
const MORE_ROUTES: u64 = 250;
const MOST_ROUTES: u64 = 3_000;
/// Time for which an operator waits for an answer before it asks another VM.
const PATIENCE: Duration = Duration::from_secs(3);

/// Makes changes in series until the run ends; each is sent again until it is accepted.
pub(crate) async fn change(world: Rc<World>) {
    let client = Client::builder().timeout(PATIENCE).finish();
    let mut last_version = 0;
    while !world.is_over() {
        let revision = world.next_revision();
        let change = match world.draw(0..3) {
            0 => Change::SetEvacuated {
                evacuated: revision.is_multiple_of(2),
                zone: "selatan-z".into(),
            },
            _ => Change::PutRouting {
                regions: world.regions(),
                routing: Box::new(routing(revision)),
            },
        };
        let req = ChangeRequest {
            change,
            expected_version: Some(last_version),
            request_id: format!("soak-{revision}").into(),
        };
        if let Some(version) = apply(&world, &client, &req).await {
            last_version = version;
        }
        world.pause(100..1_200).await;
    }
}

/// Reads versions until the run ends.
pub(crate) async fn watch(world: Rc<World>) {
    let client = Client::builder().timeout(PATIENCE).finish();
    while !world.is_over() {
        let vm = world.any_vm();
        let incarnation = world.incarnation(vm);
        if let Some(version) = version(&world, &client, vm).await
            && world.incarnation(vm) == incarnation
        {
            world.see(Event::VersionRead {
                incarnation,
                version,
                vm,
            });
        }
        world.pause(20..100).await;
    }
}

/// Version in force on a VM, if it answers.
pub(crate) async fn version(world: &World, client: &Client, vm: usize) -> Option<u64> {
    let url = format!("{}/v1/operator/status", world.operators_of(vm));
    let req = client
        .get(url)
        .insert_header(("authorization", format!("Bearer {OPERATOR}")));
    let mut response = req.send().await.ok()?;
    let status: OperatorStatus = response.json().await.ok()?;
    Some(status.version)
}

/// Sends a change until it is accepted, and returns the version that it made.
async fn apply(world: &World, client: &Client, req: &ChangeRequest) -> Option<u64> {
    let body = serde_json::to_string(req).unwrap();
    while !world.is_over() {
        let url = format!("{}/v1/operator/changes", world.operators_of(world.any_vm()));
        let req = client
            .post(url)
            .insert_header(("authorization", format!("Bearer {OPERATOR}")));
        if let Ok(mut response) = req.send_body(body.clone()).await
            && response.status().is_success()
            && let Ok(ChangeOutcome::Accepted { version }) = response.json().await
        {
            world.see(Event::Accepted { version });
            return Some(version);
        }
        world.pause(50..300).await;
    }
    None
}

fn routing(revision: u64) -> Routing {
    let route = |number: u64| GatewayRoute {
        aim_ms: 1_000,
        attempts: 2,
        has_prompts: false,
        homes: Default::default(),
        host: "certificates.example".into(),
        kind: CallKind::Idempotent,
        name: format!("route-{number}").into(),
        pause_ms: 600,
        prefix: format!("/route-{number}/").into(),
        public: false,
        rank: 1,
        resumable: false,
        split: vec![SplitPart {
            service: "registry".into(),
            weight: 1,
        }],
        timeout_ms: 4_000,
    };
    let routes: Vec<_> = (0..(revision * MORE_ROUTES).min(MOST_ROUTES))
        .map(route)
        .collect();
    Routing {
        revision,
        source: serde_json::to_string(&routes).unwrap().into(),
        routes,
        services: vec![GatewayService {
            cold: Default::default(),
            connections: 100,
            engine: None,
            health_path: "/health".into(),
            name: "registry".into(),
        }],
        workspaces: vec![GatewayWorkspace {
            call_tokens: 1,
            homes: Default::default(),
            keys: Vec::new(),
            name: "akademi".into(),
            quota: Some(Quota {
                burst: 1_000_000,
                rate: 1_000_000,
                unit: QuotaUnit::Tokens,
            }),
            rank: None,
        }],
    }
}
