//! `wingspur rollout`: accepts a bundle, and shows the progress of its rollout.

use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use wingspur_protocol::{
    BoxList, BoxStatus, ListedBox, PEER_PROTOCOL_VERSION, PeerEnvelope, PeerMessage,
    PeerReply, StoreKeys, encode_peer,
};
use wingspur_transport::{
    FaultInjector, HttpClient, Published, StoreClient, TlsFiles, TlsIdentity, Workers,
    accept_bundle, load_pointer,
};

use crate::CommandResult;
use crate::args::{RolloutStatusArgs, StartArgs};
use crate::report::{CommandError, print_json, read_json};
use crate::signed_file::SignedFile;
use crate::store::with_store;

/// The result of a rollout's start. If it was not accepted, `version` and `signer` are
/// those of the bundle that was accepted first.
#[derive(Serialize)]
struct StartOutcome {
    accepted: bool,
    version: u64,
    signer: String,
}

/// The progress of a rollout.
#[derive(Serialize)]
struct RolloutReport {
    accepted_version: Option<u64>,
    boxes: Vec<BoxRow>,
}

/// The status of one box; `None` if it does not reply.
#[derive(Serialize)]
struct BoxRow {
    id: String,
    status: Option<BoxStatus>,
}

/// Accepts a submitted bundle; fails with a version conflict if another was first.
pub fn start(args: &StartArgs) -> CommandResult {
    let file: SignedFile = read_json(&args.signed)?;
    let keys = StoreKeys::new(&file.fleet);
    let accepted = with_store(args.store, async |store| {
        accept_bundle(&store, &keys, &file.signed).await
    });
    match accepted.map_err(CommandError::failed)? {
        Published::Accepted => {
            let manifest: wingspur_protocol::Manifest =
                serde_json::from_str(&file.signed.manifest)
                    .map_err(CommandError::failed)?;
            let version = manifest.version;
            if args.json {
                let signer = file.signed.signer;
                return print_json(&StartOutcome {
                    accepted: true,
                    version,
                    signer,
                });
            }
            println!("Version {version} is accepted.");
            Ok(())
        }
        Published::Superseded(by) => {
            let hint = "number yours higher, sign it again and submit it";
            let (version, signer) = (by.version, by.signer);
            let text =
                format!("version {version} of {signer} was accepted first; {hint}");
            if args.json {
                print_json(&StartOutcome {
                    accepted: false,
                    version,
                    signer,
                })?;
            }
            Err(CommandError::VersionConflict(text))
        }
    }
}

/// Shows which version is active on each listed box.
pub fn status(args: &RolloutStatusArgs) -> CommandResult {
    let workers = Workers::start(2);
    let new_client = || HttpClient::new(workers.spawner(), FaultInjector::default());
    let peers = new_client().with_identity(identity(args)?);
    let report = smol::block_on(collect_report(args, new_client(), &peers));
    workers.close();
    let report = report?;
    if args.json {
        return print_json(&report);
    }
    match report.accepted_version {
        Some(version) => println!("accepted: version {version}"),
        None => println!("accepted: not known, the store does not answer or has none"),
    }
    for row in &report.boxes {
        match &row.status {
            Some(status) => println!(
                "{}: version {} for {} ms{}",
                row.id,
                status.bundle_version,
                status.in_force_ms,
                if status.ready { "" } else { ", not ready" },
            ),
            None => println!("{}: does not answer", row.id),
        }
    }
    Ok(())
}

/// Loads the operator's TLS identity towards boxes; `None` without TLS. Either all three
/// files are given or none.
fn identity(args: &RolloutStatusArgs) -> Result<Option<Arc<TlsIdentity>>, CommandError> {
    let files = match (&args.authorities, &args.certificate, &args.key) {
        (None, None, None) => return Ok(None),
        (Some(authorities), Some(certificate), Some(key)) => TlsFiles {
            authorities: authorities.clone(),
            certificate: certificate.clone(),
            key: key.clone(),
        },
        _ => {
            let hint =
                "--authorities, --certificate and --key go together; give all three";
            return Err(CommandError::WrongInput(hint.to_owned()));
        }
    };
    let identity = TlsIdentity::load(files);
    let identity =
        identity.map_err(|error| CommandError::WrongInput(error.to_string()))?;
    Ok(Some(Arc::new(identity)))
}

async fn collect_report(
    args: &RolloutStatusArgs,
    client: HttpClient,
    peers: &HttpClient,
) -> Result<RolloutReport, CommandError> {
    let list = client.get(args.box_list, "/boxes", TIMEOUT).await;
    let list = list.map_err(|error| {
        CommandError::Failed(format!(
            "{}: no box list: {error}; try again",
            args.box_list
        ))
    })?;
    let list: BoxList = serde_json::from_slice(&list).map_err(CommandError::failed)?;
    let mut boxes = Vec::with_capacity(list.boxes.len());
    for listed in &list.boxes {
        let status = fetch_status(peers, &args.fleet, listed).await;
        boxes.push(BoxRow {
            id: listed.id.clone(),
            status,
        });
    }
    let store = StoreClient::new(args.store, client.into(), TIMEOUT);
    let pointer = load_pointer(&store, &StoreKeys::new(&args.fleet)).await;
    let pointer = pointer.ok().flatten();
    let accepted_version = pointer.map(|(pointer, _)| pointer.version);
    Ok(RolloutReport {
        accepted_version,
        boxes,
    })
}

async fn fetch_status(
    client: &HttpClient,
    fleet: &str,
    listed: &ListedBox,
) -> Option<BoxStatus> {
    let envelope = PeerEnvelope {
        protocol: PEER_PROTOCOL_VERSION,
        fleet: fleet.to_owned(),
        from: "operator".to_owned(),
        incarnation: 0,
        sequence: 0,
        message: PeerMessage::Status,
    };
    let body = encode_peer(&envelope);
    let reply = client
        .post(listed.peer_address, "/peer", body, TIMEOUT)
        .await
        .ok()?;
    match rmp_serde::from_slice(&reply).ok()? {
        PeerReply::Status(status) => Some(status),
        _ => None,
    }
}

const TIMEOUT: Duration = Duration::from_secs(3);
