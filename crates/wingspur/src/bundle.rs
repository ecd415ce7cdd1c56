//! `wingspur bundle`: check, sign and submit.

use std::collections::BTreeMap;

use wingspur_protocol::{StoreKeys, sign_bundle};
use wingspur_state::{Bundle, Finding, check_bundle};
use wingspur_transport::submit_bundle;

use crate::CommandResult;
use crate::args::{CheckArgs, SignArgs, SubmitArgs};
use crate::keys::read_key;
use crate::report::{CommandError, print_json, read_json, write_new};
use crate::signed_file::SignedFile;
use crate::store::with_store;

/// Checks a bundle and prints all findings.
pub fn check(args: &CheckArgs) -> CommandResult {
    let bundle: Bundle = read_json(&args.bundle)?;
    let findings = check_bundle(&bundle);
    if args.json {
        let rows: Vec<BTreeMap<&str, &str>> = findings.iter().map(finding_row).collect();
        print_json(&rows)?;
    }
    if findings.is_empty() {
        if !args.json {
            println!("The bundle is valid.");
        }
        return Ok(());
    }
    Err(findings_error(&args.bundle, &findings))
}

/// Signs a bundle if it passes all checks, and writes it to a new file.
pub fn sign(args: &SignArgs) -> CommandResult {
    let bundle: Bundle = read_json(&args.bundle)?;
    let findings = check_bundle(&bundle);
    if !findings.is_empty() {
        return Err(findings_error(&args.bundle, &findings));
    }
    let key = read_key(&args.key)?;
    let (signed, _) =
        sign_bundle(&bundle, &args.signer, &key).map_err(CommandError::failed)?;
    let file = SignedFile {
        signed,
        fleet: bundle.fleet.clone(),
        services: bundle.services,
    };
    let text = serde_json::to_string(&file).map_err(CommandError::failed)?;
    write_new(&args.out, &text)?;
    println!("Version {} is signed by {}.", bundle.version, args.signer);
    Ok(())
}

/// Puts a signed bundle into the store and prints its digest.
pub fn submit(args: &SubmitArgs) -> CommandResult {
    let file: SignedFile = read_json(&args.signed)?;
    let parts = file.services.iter().map(serde_json::to_vec);
    let parts: Vec<Vec<u8>> = parts
        .collect::<Result<_, _>>()
        .map_err(CommandError::failed)?;
    let keys = StoreKeys::new(&file.fleet);
    let digest = with_store(args.store, async |store| {
        submit_bundle(&store, &keys, &file.signed, &parts).await
    });
    println!("Submitted as {}.", digest.map_err(CommandError::failed)?);
    Ok(())
}

fn finding_row(finding: &Finding) -> BTreeMap<&str, &str> {
    BTreeMap::from([
        ("field", finding.field.as_str()),
        ("found", finding.found.as_str()),
        ("fix", finding.fix.as_str()),
    ])
}

fn findings_error(path: &std::path::Path, findings: &[Finding]) -> CommandError {
    let lines: Vec<String> = findings
        .iter()
        .map(|finding| format!("{}: {finding}", path.display()))
        .collect();
    CommandError::WrongInput(lines.join("\n"))
}
