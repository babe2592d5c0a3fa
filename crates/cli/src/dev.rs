//! `dev`: a whole site in one process, for a first look.

use crate::arguments::Arguments;
use crate::exit::Failure;
use crate::node::StopSignals;
use hyper::Method;
use latchwheel_core::table::{Class, Limits, RetryPolicy, Row};
use latchwheel_emulator::engine::EngineSettings;
use latchwheel_emulator::site::{ServiceSettings, Site, SiteAddresses, SiteSettings};
use latchwheel_http::Client;
use latchwheel_node::settings::Settings;
use latchwheel_node::{logging, Node};
use std::time::Duration;
use tokio::sync::watch;

const SERVICE: &str = "dev";
const READY_TRIES: u32 = 200;
const READY_PAUSE: Duration = Duration::from_millis(50);
const CALL_TIME: Duration = Duration::from_secs(5);

/// Runs stand-ins, two engines and a node on loopback until told to stop.
pub(crate) async fn run(arguments: &Arguments) -> Result<(), Failure> {
    let mut signals = StopSignals::new()?;
    let (stop, stopped) = watch::channel(false);
    let site = Site::start(&site_settings(), &stopped).await.map_err(|fault| Failure::Run(format!("{fault:#}")))?;
    let folder = tempfile::tempdir().map_err(|fault| Failure::Run(fault.to_string()))?;
    let listen = arguments.option("listen").unwrap_or_else(|| "127.0.0.1:8080".into());
    let text = node_settings(&site.addresses, &listen, &folder.path().to_string_lossy());
    let settings = Settings::parse(&text).map_err(|faults| Failure::Settings(format!("{faults:?}")))?;
    logging::start(&settings.name, settings.log_level, "").map_err(|fault| Failure::Run(fault.to_string()))?;
    let node = Node::start(settings).await.map_err(|fault| Failure::Run(format!("{fault:#}")))?;
    make_rows(&node).await?;
    let callers = &node.addresses.callers;
    println!("callers: http://{callers}  operators: http://{}", node.addresses.admin);
    println!("try: curl http://{callers}/v1/completions -d '{{\"model\":\"{SERVICE}\",\"prompt\":\"Hello\"}}'");
    signals.wait().await;
    node.stop().await;
    stop.send_replace(true);
    Ok(())
}

fn site_settings() -> SiteSettings {
    SiteSettings {
        region: "local".into(),
        zones: vec!["local-a".into()],
        services: vec![ServiceSettings {
            name: SERVICE.into(),
            servers: 2,
            engine: EngineSettings { model: SERVICE.into(), ..EngineSettings::default() },
        }],
        key_value: Default::default(),
        weights: Default::default(),
        machine_list_lag_milliseconds: 0,
    }
}

fn node_settings(site: &SiteAddresses, listen: &str, folder: &str) -> String {
    let SiteAddresses { key_value, machines, weights, .. } = site;
    format!(
        "[node]
name = \"dev-node\"
region = \"local\"
zone = \"local-a\"
data_dir = \"{folder}\"
drain_seconds = 5
[listen]
callers = \"{listen}\"
admin = \"127.0.0.1:0\"
peers = \"127.0.0.1:0\"
[platform]
key_value = \"{key_value}\"
machines = \"{machines}\"
weights = \"{weights}\"
[store]
replicas = 1
[callers]
keys = \"open\"
"
    )
}

async fn make_rows(node: &Node) -> Result<(), Failure> {
    let client = Client::http1();
    for (name, class) in [("chat", Class::Online), ("bulk", Class::Batch)] {
        let row = Row {
            name: name.into(),
            class,
            weight: 1.0,
            service: SERVICE.into(),
            model: String::new(),
            limits: Limits::default(),
            retry: RetryPolicy::default(),
            deadline_milliseconds: 0,
            retention_seconds: 0,
        };
        let path = format!("/admin/v1/table/rows/{name}");
        let mut tries = 0;
        loop {
            let put: Result<serde_json::Value, _> =
                client.json(Method::PUT, &node.addresses.admin, &path, &row, CALL_TIME).await;
            match put {
                Ok(_) if node.is_ready() => break,
                Ok(_) | Err(_) if tries < READY_TRIES => tries += 1,
                Ok(_) => return Err(Failure::Run("the node does not get ready".into())),
                Err(fault) => return Err(Failure::Run(format!("row {name} can't be written: {fault}"))),
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
    }
    Ok(())
}
