//! Creates certificates for forwarders that exchange observations, and the flags that configure them.
#![allow(dead_code)]
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A certificate authority and the folder of its files and its forwarders' files.
pub struct Authority {
    folder: tempfile::TempDir,
    issuer: Issuer<'static, KeyPair>,
}

impl Authority {
    /// Creates an authority with a new key and writes its certificate.
    pub fn new() -> Authority {
        let folder = tempfile::tempdir().expect("a folder");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().expect("a key");
        let certificate = params.self_signed(&key).expect("a certificate");
        std::fs::write(folder.path().join("authority.pem"), certificate.pem()).expect("written");
        Authority { issuer: Issuer::new(params, key), folder }
    }

    /// Returns the path of a file in the authority's folder.
    pub fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Writes a certificate and a key for a forwarder; with `expired`, the validity of the certificate is in the past.
    pub fn write(&self, name: &str, expired: bool) {
        let mut params =
            CertificateParams::new(vec!["micaladder-neighbour".to_string()]).expect("parameters");
        if expired {
            params.not_before = rcgen::date_time_ymd(2020, 1, 1);
            params.not_after = rcgen::date_time_ymd(2021, 1, 1);
        }
        let key = KeyPair::generate().expect("a key");
        let certificate = params.signed_by(&key, &self.issuer).expect("a certificate");
        std::fs::write(self.path(&format!("{name}.key")), key.serialize_pem()).expect("written");
        std::fs::write(self.path(&format!("{name}.pem")), certificate.pem()).expect("written");
    }

    /// Returns the flags of a forwarder that listens for peers on this address.
    pub fn flags(&self, name: &str, listen: SocketAddr, seeds: &[SocketAddr]) -> Vec<String> {
        let text = |path: &Path| path.to_string_lossy().into_owned();
        let mut flags = vec![
            format!("--name={name}"),
            format!("--neighbours-listen={listen}"),
            format!("--neighbours-certificate={}", text(&self.path(&format!("{name}.pem")))),
            format!("--neighbours-key={}", text(&self.path(&format!("{name}.key")))),
            format!("--neighbours-authority={}", text(&self.path("authority.pem"))),
        ];
        if !seeds.is_empty() {
            let seeds: Vec<String> = seeds.iter().map(|seed| seed.to_string()).collect();
            flags.push(format!("--neighbours-seeds={}", seeds.join(",")));
        }
        flags
    }
}
