//! Mutual TLS between boxes, with files that may be replaced while the box runs.

use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};

use futures_rustls::rustls::pki_types::pem::PemObject;
use futures_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto};
use futures_rustls::{TlsAcceptor, TlsConnector};

/// Where a box finds its certificate, its key and whom it trusts, all in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The authorities whose certificates are trusted; several while they change.
    pub authorities: PathBuf,
    /// The box's certificate, with its chain.
    pub certificate: PathBuf,
    /// The certificate's key.
    pub key: PathBuf,
}

/// A box's identity towards other boxes.
///
/// The certificate names the box by its id (as a DNS name) and its peer address (as an
/// IP address): a client checks the address it calls, a server the id that a message
/// says it is from.
#[derive(Debug)]
pub struct TlsIdentity {
    files: TlsFiles,
    state: RwLock<TlsState>,
}

#[derive(Debug, Clone)]
struct TlsState {
    bytes: [Vec<u8>; 3],
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// The certificate that the other side of a connection proved to hold.
#[derive(Debug, Clone)]
pub struct PeerCertificate(CertificateDer<'static>);

/// Why an identity cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum TlsError {
    /// A file cannot be read.
    #[error("{}: cannot be read: {error}; check the path in `tls`", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// A file holds no PEM of the kind wanted.
    #[error("{}: {reason}; write it in PEM", path.display())]
    NotPem {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        reason: String,
    },
    /// Certificate, key and authorities do not go together.
    #[error("certificate, key and authorities do not go together: {0}")]
    Mismatch(String),
}

impl TlsIdentity {
    /// Reads and checks the files.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let state = RwLock::new(TlsState::read(&files)?);
        Ok(Self { files, state })
    }

    /// Reads the files again; true when they have changed and are in use from now on.
    ///
    /// With an error the former ones stay in use: files may be caught half-written.
    pub fn refresh(&self) -> Result<bool, TlsError> {
        let fresh = TlsState::read(&self.files)?;
        let mut state = self.state.write().expect("no holder panics");
        let changed = fresh.bytes != state.bytes;
        if changed {
            *state = fresh;
        }
        Ok(changed)
    }

    /// Accepts connections of other boxes.
    pub fn acceptor(&self) -> TlsAcceptor {
        self.state
            .read()
            .expect("no holder panics")
            .server
            .clone()
            .into()
    }

    /// Connects to other boxes.
    pub fn connector(&self) -> TlsConnector {
        self.state
            .read()
            .expect("no holder panics")
            .client
            .clone()
            .into()
    }
}

impl TlsState {
    fn read(files: &TlsFiles) -> Result<Self, TlsError> {
        let bytes = [
            read_file(&files.authorities)?,
            read_file(&files.certificate)?,
            read_file(&files.key)?,
        ];
        let mut roots = RootCertStore::empty();
        for authority in certificates(&files.authorities, &bytes[0])? {
            roots.add(authority).map_err(mismatch)?;
        }
        let roots = Arc::new(roots);
        let chain = certificates(&files.certificate, &bytes[1])?;
        let key = PrivateKeyDer::from_pem_slice(&bytes[2])
            .map_err(|error| not_pem(&files.key, error))?;
        let provider = Arc::new(crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
        let server = ServerConfig::builder_with_provider(provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(mismatch)?
            .with_client_cert_verifier(verifier.build().map_err(mismatch)?)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(mismatch)?;
        let client = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(mismatch)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(mismatch)?;
        Ok(Self {
            bytes,
            server: Arc::new(server),
            client: Arc::new(client),
        })
    }
}

impl PeerCertificate {
    /// The certificate of a connection's other side.
    pub fn new(certificate: CertificateDer<'static>) -> Self {
        Self(certificate)
    }

    /// Whether the certificate names this box.
    pub fn matches_box(&self, box_id: &str) -> bool {
        let Ok(name) = ServerName::try_from(box_id) else {
            return false;
        };
        let certificate = webpki::EndEntityCert::try_from(&self.0);
        certificate.is_ok_and(|own| own.verify_is_valid_for_subject_name(&name).is_ok())
    }
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    std::fs::read(path).map_err(|error| TlsError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

fn certificates(
    path: &Path,
    pem: &[u8],
) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let read = read.map_err(|error| not_pem(path, error))?;
    if read.is_empty() {
        return Err(not_pem(path, "no certificate in it"));
    }
    Ok(read)
}

fn not_pem(path: &Path, reason: impl std::fmt::Display) -> TlsError {
    TlsError::NotPem {
        path: path.to_owned(),
        reason: reason.to_string(),
    }
}

fn mismatch(error: impl std::fmt::Display) -> TlsError {
    TlsError::Mismatch(error.to_string())
}
