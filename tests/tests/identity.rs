//! Mutual TLS between boxes: accepted and rejected peers, and rotation of certificates.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair, SanType,
};
use smol::net::TcpListener;
use wingspur_transport::{
    FaultInjector, HttpClient, HttpClientError, HttpListener, ListenerOptions,
    PeerCertificate, TlsFiles, TlsIdentity, Workers,
};

type Authority = CertifiedIssuer<'static, KeyPair>;

/// A temporary folder that is removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let own = format!("wingspur-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(own);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn authority() -> Authority {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    CertifiedIssuer::self_signed(params, KeyPair::generate().unwrap()).unwrap()
}

/// Writes a box's files: a certificate issued by `by`, its key, and the authorities in
/// `trusted`.
fn write_files(
    folder: &Path,
    name: &str,
    by: &Authority,
    trusted: &[&Authority],
) -> TlsFiles {
    let mut params = CertificateParams::new(vec![name.to_owned()]).unwrap();
    let address: IpAddr = "127.0.0.1".parse().unwrap();
    params.subject_alt_names.push(SanType::IpAddress(address));
    let key = KeyPair::generate().unwrap();
    let certificate = params.signed_by(&key, by).unwrap();
    let files = TlsFiles {
        authorities: folder.join(format!("{name}-authorities.pem")),
        certificate: folder.join(format!("{name}.pem")),
        key: folder.join(format!("{name}.key")),
    };
    let authorities: Vec<String> =
        trusted.iter().map(|authority| authority.pem()).collect();
    std::fs::write(&files.authorities, authorities.concat()).unwrap();
    std::fs::write(&files.certificate, certificate.pem()).unwrap();
    std::fs::write(&files.key, key.serialize_pem()).unwrap();
    files
}

/// Starts a listener that responds with `box-1` if the caller's certificate is that
/// box's, and with `another` otherwise.
async fn start(
    workers: &Workers,
    identity: Arc<TlsIdentity>,
) -> (HttpListener, SocketAddr) {
    let port = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let options = ListenerOptions {
        identity: Some(identity),
        ..ListenerOptions::default()
    };
    let handler = |request: Request<Incoming>, _| async move {
        let certificate = request.extensions().get::<PeerCertificate>();
        let known = certificate.is_some_and(|own| own.matches_box("box-1"));
        let text = if known { "box-1" } else { "another" };
        Response::new(Full::new(Bytes::from_static(text.as_bytes())))
    };
    let listener =
        HttpListener::start(port, &workers.spawner(), options, handler).unwrap();
    let address = listener.address();
    (listener, address)
}

async fn call(
    workers: &Workers,
    identity: Option<Arc<TlsIdentity>>,
    to: SocketAddr,
) -> Result<String, HttpClientError> {
    let http_client = HttpClient::new(workers.spawner(), FaultInjector::default());
    let http_client = http_client.with_identity(identity);
    let body = http_client.get(to, "/peer", Duration::from_secs(5)).await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn load(files: &TlsFiles) -> Arc<TlsIdentity> {
    Arc::new(TlsIdentity::load(files.clone()).unwrap())
}

#[test]
fn only_boxes_of_the_authority_are_let_in_and_known_by_name() {
    let folder = Folder::new("let-in");
    let (ours, theirs) = (authority(), authority());
    let server = write_files(&folder.0, "box-0", &ours, &[&ours]);
    let known = write_files(&folder.0, "box-1", &ours, &[&ours]);
    let other = write_files(&folder.0, "box-2", &ours, &[&ours]);
    let stranger = write_files(&folder.0, "box-9", &theirs, &[&ours]);
    let workers = Workers::start(2);
    smol::block_on(async {
        let (listener, address) = start(&workers, load(&server)).await;
        let response = call(&workers, Some(load(&known)), address).await;
        assert_eq!(response.unwrap(), "box-1");
        let response = call(&workers, Some(load(&other)), address).await;
        assert_eq!(response.unwrap(), "another");
        assert!(
            call(&workers, Some(load(&stranger)), address)
                .await
                .is_err()
        );
        assert!(
            call(&workers, None, address).await.is_err(),
            "a connection without TLS must be refused"
        );
        listener.close(Duration::ZERO).await;
    });
    workers.close();
}

#[test]
fn a_server_of_another_authority_is_not_talked_to() {
    let folder = Folder::new("server");
    let (ours, theirs) = (authority(), authority());
    let server = write_files(&folder.0, "box-0", &theirs, &[&ours]);
    let known = write_files(&folder.0, "box-1", &ours, &[&ours]);
    let workers = Workers::start(2);
    smol::block_on(async {
        let (listener, address) = start(&workers, load(&server)).await;
        assert!(call(&workers, Some(load(&known)), address).await.is_err());
        listener.close(Duration::ZERO).await;
    });
    workers.close();
}

#[test]
fn an_authority_is_changed_without_a_stop() {
    let folder = Folder::new("rotation");
    let (old, new) = (authority(), authority());
    let server = write_files(&folder.0, "box-0", &old, &[&old]);
    let known = write_files(&folder.0, "box-1", &old, &[&old]);
    let workers = Workers::start(2);
    smol::block_on(async {
        let (identity, caller) = (load(&server), load(&known));
        let (listener, address) = start(&workers, identity.clone()).await;
        assert!(!identity.refresh().unwrap(), "no file has changed");
        // All boxes trust both authorities first, then each gets a new certificate in
        // turn.
        write_files(&folder.0, "box-0", &old, &[&old, &new]);
        write_files(&folder.0, "box-1", &new, &[&old, &new]);
        assert!(identity.refresh().unwrap());
        assert!(caller.refresh().unwrap());
        let response = call(&workers, Some(caller.clone()), address).await;
        assert_eq!(response.unwrap(), "box-1");
        // A half-written file is refused, and the previous certificate stays active.
        std::fs::write(&server.certificate, "-----BEGIN CERT").unwrap();
        assert!(identity.refresh().is_err());
        assert_eq!(
            call(&workers, Some(caller), address).await.unwrap(),
            "box-1"
        );
        listener.close(Duration::ZERO).await;
    });
    workers.close();
}
