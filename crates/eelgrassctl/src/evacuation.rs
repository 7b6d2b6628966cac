//! `evacuate` and `restore`: order that a data centre gets no requests, and withdraw the order.

use std::collections::BTreeMap;

use eelgrassdyke_core::config::{Change, DataCentreSpec, Patch, Submission};
use eelgrassdyke_core::id::DataCentre;

use crate::client::Client;
use crate::command::EvacuationArgs;
use crate::config;
use crate::errors::{ExitStatus, Result};
use crate::status::merge_servers;

/// Submits the order to evacuate a data centre.
pub async fn evacuate(client: &Client, options: &EvacuationArgs, json: bool) -> Result<ExitStatus> {
    if !has_servers(client, &options.data_centre).await? {
        eprintln!(
            "no server in {} is known now; `eelgrassctl status` lists the servers and their data centres",
            options.data_centre
        );
    }
    let spec = DataCentreSpec { evacuated: true };
    submit(client, options, Some(spec), json).await
}

/// Withdraws the order to evacuate a data centre.
pub async fn restore(client: &Client, options: &EvacuationArgs, json: bool) -> Result<ExitStatus> {
    submit(client, options, None, json).await
}

async fn submit(
    client: &Client,
    options: &EvacuationArgs,
    spec: Option<DataCentreSpec>,
    json: bool,
) -> Result<ExitStatus> {
    let patch = Patch {
        data_centres: BTreeMap::from([(options.data_centre.clone(), spec)]),
        ..Patch::default()
    };
    let submission = Submission {
        operation: config::generate_operation_id(),
        base: client.newest_config().await?.version,
        change: Change::Patch(patch),
        author: options.author.clone(),
    };
    config::submit(client, &submission, options.wait, json).await
}

/// Whether any control process knows a server in a data centre.
async fn has_servers(client: &Client, data_centre: &DataCentre) -> Result<bool> {
    let (statuses, _) = client.require_statuses().await?;
    let statuses: Vec<_> = statuses.into_iter().map(|(_, status)| status).collect();
    let servers = merge_servers(&statuses);
    let mut infos = servers.values().map(|(info, _)| info);
    Ok(infos.any(|info| info.data_centre == *data_centre))
}
