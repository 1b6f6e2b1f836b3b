//! What is wrong in the file of AS2 partners: keys that nobody knows, partners that lead nowhere, certificates and
//! keys that cannot be read or do not belong together.
use super::File;
use crate::config_error::{ConfigError, ConfigErrors};
use crate::settings::DeploymentSettings;
use der::DecodePem;
use hyper::Uri;
use std::path::Path;
use x509_cert::Certificate;

/// All that is wrong in the file; nothing where there is none. `site` are the settings whose names it uses, where
/// they can be read.
pub fn check_file(path: &Path, site: Option<&DeploymentSettings>) -> Vec<ConfigError> {
    let mut errors = ConfigErrors::new(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => return Vec::new(),
        Err(e) => {
            errors.add("", e);
            return errors.errors;
        }
    };
    let Some(file) = errors.parse_json::<File>(&text, &[]) else { return errors.errors };
    errors.require_socket_address(&file.listen, "listen");
    url(Some(&file.receipt_url), "receipt_url", &mut errors);
    let folder = path.parent().unwrap_or(Path::new("."));
    if file.enabled {
        match std::fs::read_to_string(folder.join(&file.key)) {
            Err(e) => errors.add("key", format!("{}: {e}", file.key)),
            Ok(key) => {
                if let Some(certificate) = certificate(folder, &file.certificate, "certificate", &mut errors)
                {
                    if let Err(e) = super::Identity::new(&key, certificate) {
                        errors.add("key", format!("{}: {e}", file.key));
                    }
                }
            }
        }
    }
    if let Some(acme) = &file.acme {
        url(Some(&acme.directory), "acme.directory", &mut errors);
        errors.require_socket_address(&acme.challenge_listen, "acme.challenge_listen");
        errors.require(acme.renew_s > 0.0, "acme.renew_s", "is not above 0");
        errors.require(acme.retry_s > 0.0, "acme.retry_s", "is not above 0");
    }
    errors
        .reject_duplicates(file.partners.iter().map(|p| p.name.as_str()), |i| format!("partners[{i}].name"));
    for (i, p) in file.partners.iter().enumerate() {
        let key = |k: &str| format!("partners[{i}].{k}");
        certificate(folder, &p.certificate, &key("certificate"), &mut errors);
        url(p.url.as_deref(), &key("url"), &mut errors);
        url(p.receipts_to.as_deref(), &key("receipts_to"), &mut errors);
        errors.require_one_of(p.receipt.as_deref(), &["sync", "async"], key("receipt"));
        errors.require(
            p.dest.is_none() || p.url.is_some(),
            key("url"),
            "is missing; a partner with a dest has one",
        );
        errors.require(p.rate.is_none_or(|r| r >= 0.0), key("rate"), "is below 0");
        let in_full = [p.class.is_some(), p.tenant.is_some(), p.forward_to.is_some()];
        let none = !in_full.contains(&true);
        let complete = !in_full.contains(&false);
        errors.require(none || complete, key("forward_to"), "class, tenant and forward_to go together");
        let Some(site) = site else { continue };
        errors.require_known(&p.class, &site.classes, key("class"), "is no class of the configuration");
        errors.require_known(&p.tenant, &site.tenants, key("tenant"), "is no tenant of the configuration");
    }
    errors.errors
}

fn certificate(folder: &Path, name: &str, key: &str, errors: &mut ConfigErrors) -> Option<Certificate> {
    let read = std::fs::read_to_string(folder.join(name)).map_err(|e| e.to_string());
    match read.and_then(|pem| Certificate::from_pem(pem).map_err(|e| e.to_string())) {
        Ok(certificate) => Some(certificate),
        Err(e) => {
            errors.add(key, format!("{name}: {e}"));
            None
        }
    }
}

fn url(text: Option<&str>, key: &str, errors: &mut ConfigErrors) {
    let Some(text) = text.filter(|t| !t.is_empty()) else { return };
    let good = text.parse::<Uri>().is_ok_and(|u| u.host().is_some() && u.scheme().is_some());
    errors.require(good, key, format!("not a URL with scheme and host: {text:?}"));
}
