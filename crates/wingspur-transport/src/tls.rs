//! Mutual TLS between boxes. The certificate files may be replaced while the box runs.

use std::path::{Path, PathBuf};
use std::sync::{Arc, RwLock};

use futures_rustls::rustls::pki_types::pem::PemObject;
use futures_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use futures_rustls::rustls::server::WebPkiClientVerifier;
use futures_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig, crypto};
use futures_rustls::{TlsAcceptor, TlsConnector};

/// Paths of a box's certificate, its key and the authorities that it trusts, all in PEM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsFiles {
    /// The certificates of the trusted authorities, several while an authority is being
    /// replaced.
    pub authorities: PathBuf,
    /// The box's certificate, with its chain.
    pub certificate: PathBuf,
    /// The private key of the certificate.
    pub key: PathBuf,
}

/// The TLS identity of a box, which it proves to other boxes.
///
/// The certificate contains the box id as a DNS name and the peer address as an IP
/// address. A client checks that the certificate is for the address that it connects to;
/// a server checks that it is for the box id that a message gives as its sender.
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

/// The certificate of the other side of a connection, which proved in the handshake that
/// it has the private key.
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
        /// The error from reading it.
        error: std::io::Error,
    },
    /// A file does not contain PEM of the expected kind.
    #[error("{}: {reason}; write it in PEM", path.display())]
    NotPem {
        /// The file.
        path: PathBuf,
        /// What is wrong with its content.
        reason: String,
    },
    /// TLS cannot be configured with these files, such as when the key is not that of the
    /// certificate.
    #[error("certificate, key and authorities cannot be used together: {0}")]
    Mismatch(String),
}

impl TlsIdentity {
    /// Reads and checks the files.
    ///
    /// Fails when a file cannot be read, is not PEM, or does not match the others.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let state = RwLock::new(TlsState::read(&files)?);
        Ok(Self { files, state })
    }

    /// Reads the files again. Returns true if they have changed; new connections then use
    /// the new ones.
    ///
    /// On an error the previous ones stay in use, as the files may have been read while
    /// they were being written.
    pub fn refresh(&self) -> Result<bool, TlsError> {
        let fresh = TlsState::read(&self.files)?;
        let mut state = self.state.write().expect("no holder panics");
        let changed = fresh.bytes != state.bytes;
        if changed {
            *state = fresh;
        }
        Ok(changed)
    }

    /// Returns an acceptor for connections from other boxes, with the current files.
    pub fn acceptor(&self) -> TlsAcceptor {
        self.state
            .read()
            .expect("no holder panics")
            .server
            .clone()
            .into()
    }

    /// Returns a connector for connections to other boxes, with the current files.
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
    /// Wraps the certificate of the other side of a connection.
    pub fn new(certificate: CertificateDer<'static>) -> Self {
        Self(certificate)
    }

    /// Returns whether the certificate is for the box with this id.
    pub fn matches_box(&self, box_id: &str) -> bool {
        let Ok(name) = ServerName::try_from(box_id) else {
            return false;
        };
        let certificate = webpki::EndEntityCert::try_from(&self.0);
        certificate
            .is_ok_and(|parsed| parsed.verify_is_valid_for_subject_name(&name).is_ok())
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
        return Err(not_pem(path, "it contains no certificate"));
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
