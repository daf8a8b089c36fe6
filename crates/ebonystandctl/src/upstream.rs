use super::*;

/// Arguments of `upstream`, which adds, removes, drains, resumes and lists upstreams.
#[derive(Clone, Debug)]
pub(crate) enum UpstreamCommand {
    Add {
        args: ChangeArgs,
        id: UpstreamId,
        upstream: Box<Upstream>,
    },
    SetLeaving {
        args: ChangeArgs,
        id: UpstreamId,
        leaving: bool,
    },
    List,
    Remove {
        args: ChangeArgs,
        id: UpstreamId,
    },
}

mod arg {
    pub(super) const ADDRESS: &str = "address";
    pub(super) const COST: &str = "cost";
    pub(super) const FENCING: &str = "enforces-fencing";
    pub(super) const MODEL: &str = "model";
    pub(super) const REGION: &str = "region";
    pub(super) const SERVICE: &str = "service";
    pub(super) const SPEED: &str = "speed";
    pub(super) const ZONE: &str = "zone";
}

impl UpstreamCommand {
    pub(crate) fn command() -> Command {
        let with_name = |name: &'static str, about: &'static str| {
            Command::new(name)
                .about(about)
                .arg(name_arg("Name of the upstream"))
                .args(ChangeArgs::args())
        };
        Command::new("upstream")
            .about("Add, remove, drain, resume and list upstreams")
            .subcommand_required(true)
            .after_help(
                "Examples:\n  ebonystandctl … upstream add draft-7 --address 10.1.0.7:8000 \
                 --region tengah --zone tengah-1 --model draft --speed 2000\n  \
                 ebonystandctl … upstream drain draft-7",
            )
            .subcommand(with_name("add", "Add or replace an upstream").args(add_args()))
            .subcommand(with_name(
                "drain",
                "Give an upstream no new work; it finishes what it has",
            ))
            .subcommand(Command::new("list").about("List upstreams"))
            .subcommand(with_name("remove", "Remove an upstream"))
            .subcommand(with_name("resume", "Give a drained upstream work again"))
    }

    pub(crate) fn from_matches(matches: &ArgMatches) -> Self {
        let Some((name, matches)) = matches.subcommand() else {
            return Self::List;
        };
        if name == "list" {
            return Self::List;
        }
        let args = ChangeArgs::from_matches(matches);
        let id = config::required_string(matches, config::arg::NAME);
        match name {
            "add" => Self::Add {
                args,
                id,
                upstream: Box::new(upstream_from_matches(matches)),
            },
            "remove" => Self::Remove { args, id },
            _ => Self::SetLeaving {
                args,
                id,
                leaving: name == "drain",
            },
        }
    }

    pub(crate) async fn run(&self, cx: &Context) -> Result {
        match self.clone() {
            Self::Add { args, id, upstream } => {
                let upstream = *upstream;
                cx.change(Change::PutUpstream { id, upstream }, &args).await
            }
            Self::SetLeaving { args, id, leaving } => {
                let change = Change::SetUpstreamLeaving { id, leaving };
                cx.change(change, &args).await
            }
            Self::List => list_upstreams(cx).await,
            Self::Remove { args, id } => cx.change(Change::RemoveUpstream { id }, &args).await,
        }
    }
}

pub(crate) fn name_arg(help: &'static str) -> Arg {
    Arg::new(config::arg::NAME).required(true).help(help)
}

fn add_args() -> Vec<Arg> {
    let value = |name: &'static str, help: &'static str| Arg::new(name).long(name).help(help);
    let number = |name, help| value(name, help).value_parser(value_parser!(u64));
    vec![
        value(arg::ADDRESS, "Where it listens for HTTP")
            .required(true)
            .value_parser(value_parser!(SocketAddr)),
        value(arg::REGION, "Region it stands in").required(true),
        value(arg::ZONE, "Availability zone it stands in").required(true),
        value(arg::MODEL, "Model it has loaded; may be repeated")
            .action(ArgAction::Append)
            .required_unless_present(arg::SERVICE)
            .conflicts_with(arg::SERVICE),
        value(arg::SERVICE, "Plain service it is a server of"),
        number(arg::SPEED, "Tokens, or calls of a service, a second").required(true),
        number(
            arg::COST,
            "Cost of a thousand tokens or of a call [default: 0]",
        ),
        value(arg::FENCING, "It refuses orders with an old fencing number")
            .action(ArgAction::SetTrue),
    ]
}

async fn list_upstreams(cx: &Context) -> Result {
    let upstreams = cx.client.document().await?.upstreams;
    cx.print(&upstreams, || {
        let line = |(id, upstream): (&UpstreamId, &Upstream)| {
            let state = if upstream.leaving {
                "leaving"
            } else {
                "in use"
            };
            let Upstream {
                address,
                region,
                zone,
                ..
            } = upstream;
            format!("{id}\t{address}\t{region}/{zone}\t{state}")
        };
        upstreams.iter().map(line).collect::<Vec<_>>().join("\n")
    })
}

fn upstream_from_matches(matches: &ArgMatches) -> Upstream {
    let number = |name| matches.get_one::<u64>(name).copied().unwrap_or_default();
    let models = matches.get_many::<String>(arg::MODEL).into_iter().flatten();
    let kind = match matches.get_one::<String>(arg::SERVICE) {
        Some(service) => UpstreamKind::Service {
            service: service.as_str().into(),
        },
        None => UpstreamKind::Model {
            models: models.map(|model| model.as_str().into()).collect(),
        },
    };
    let address = matches.get_one::<SocketAddr>(arg::ADDRESS).copied();
    Upstream {
        address: address.unwrap_or(([0, 0, 0, 0], 0).into()),
        cost: number(arg::COST),
        enforces_fencing: matches.get_flag(arg::FENCING),
        kind,
        leaving: false,
        region: config::required_string(matches, arg::REGION),
        speed: number(arg::SPEED),
        zone: config::required_string(matches, arg::ZONE),
    }
}
