//! `wingspur keys`: the signing keys of operators.

use std::path::Path;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use ed25519_dalek::SigningKey;

use crate::CommandResult;
use crate::args::{NewKeyArgs, ShowKeyArgs};
use crate::report::{CommandError, write_new};

/// Writes a new secret key to a file and prints its public key.
pub fn new(args: &NewKeyArgs) -> CommandResult {
    let key = SigningKey::from_bytes(&rand::random());
    write_new(&args.key, &format!("{}\n", STANDARD.encode(key.to_bytes())))?;
    println!("{}", public_key(&key));
    Ok(())
}

/// Prints the public key of a secret key.
pub fn show(args: &ShowKeyArgs) -> CommandResult {
    println!("{}", public_key(&read_key(&args.key)?));
    Ok(())
}

/// Reads a secret key from a file, as 32 bytes in base64.
pub fn read_key(path: &Path) -> Result<SigningKey, CommandError> {
    let input_error = |what: &str| {
        CommandError::WrongInput(format!(
            "{}: {what}; make one by `keys new`",
            path.display()
        ))
    };
    let text = std::fs::read_to_string(path).map_err(|e| input_error(&e.to_string()))?;
    let bytes = STANDARD.decode(text.trim()).ok();
    let bytes = bytes.and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
    let bytes = bytes.ok_or_else(|| input_error("not a secret key"))?;
    Ok(SigningKey::from_bytes(&bytes))
}

fn public_key(key: &SigningKey) -> String {
    STANDARD.encode(key.verifying_key().to_bytes())
}
