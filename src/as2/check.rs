//! Checks the AS2 settings file and reports all errors: unknown settings keys, malformed addresses, and certificates and
//! private keys that cannot be read or parsed.
use super::file::{AcmeSettings, As2File, PartnerEntry};
use super::key_dir;
use super::smime::Identity;
use crate::config_error::{ConfigError, ConfigErrors};
use crate::settings::DeploymentSettings;
use der::DecodePem;
use hyper::Uri;
use std::io::ErrorKind;
use std::path::Path;
use x509_cert::Certificate;

/// Checks the file and returns all errors; none if the file does not exist. `deployment` has the names of the classes and
/// tenants that partners refer to; if it is `None`, because the configuration cannot be parsed, these names are not checked.
pub fn check_file(path: &Path, deployment: Option<&DeploymentSettings>) -> Vec<ConfigError> {
    let mut errors = ConfigErrors::new(path);
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Vec::new(),
        Err(error) => {
            errors.add("", error);
            return errors.errors;
        }
    };
    let Some(file) = errors.parse_json::<As2File>(&text, &[]) else { return errors.errors };
    errors.require_socket_address(&file.listen, "listen");
    check_url(Some(&file.receipt_url), "receipt_url", &mut errors);
    let key_dir = key_dir(path);
    if file.enabled {
        check_identity(&file, key_dir, &mut errors);
    }
    if let Some(acme) = &file.acme {
        check_acme(acme, &mut errors);
    }
    let names = file.partners.iter().map(|p| p.name.as_str());
    errors.reject_duplicates(names, |i| format!("partners[{i}].name"));
    for (index, partner) in file.partners.iter().enumerate() {
        check_partner(index, partner, key_dir, deployment, &mut errors);
    }
    errors.errors
}

fn check_identity(file: &As2File, key_dir: &Path, errors: &mut ConfigErrors) {
    let key = match std::fs::read_to_string(key_dir.join(&file.key)) {
        Ok(key) => key,
        Err(error) => return errors.add("key", format!("{}: {error}", file.key)),
    };
    let Some(certificate) = check_certificate(key_dir, &file.certificate, "certificate", errors) else {
        return;
    };
    if let Err(error) = Identity::new(&key, certificate) {
        errors.add("key", format!("{}: {error}", file.key));
    }
}

fn check_acme(acme: &AcmeSettings, errors: &mut ConfigErrors) {
    check_url(Some(&acme.directory), "acme.directory", errors);
    errors.require_socket_address(&acme.challenge_listen, "acme.challenge_listen");
    errors.require(acme.renew_s > 0.0, "acme.renew_s", "is not above 0");
    errors.require(acme.retry_s > 0.0, "acme.retry_s", "is not above 0");
}

fn check_partner(
    index: usize, partner: &PartnerEntry, key_dir: &Path, deployment: Option<&DeploymentSettings>,
    errors: &mut ConfigErrors,
) {
    let key = |k: &str| format!("partners[{index}].{k}");
    check_certificate(key_dir, &partner.certificate, &key("certificate"), errors);
    check_url(partner.url.as_deref(), &key("url"), errors);
    check_url(partner.receipts_to.as_deref(), &key("receipts_to"), errors);
    errors.require_one_of(partner.receipt.as_deref(), &["sync", "async"], key("receipt"));
    let has_url = partner.dest.is_none() || partner.url.is_some();
    errors.require(has_url, key("url"), "is missing; a partner with a dest has one");
    errors.require(partner.rate.is_none_or(|r| r >= 0.0), key("rate"), "is below 0");
    let incoming_settings = [partner.class.is_some(), partner.tenant.is_some(), partner.forward_to.is_some()];
    let all_or_none = incoming_settings.iter().all(|p| *p) || incoming_settings.iter().all(|p| !p);
    errors.require(all_or_none, key("forward_to"), "class, tenant and forward_to go together");
    let Some(deployment) = deployment else { return };
    let (classes, tenants) = (&deployment.classes, &deployment.tenants);
    errors.require_known(&partner.class, classes, key("class"), "is no class of the configuration");
    errors.require_known(&partner.tenant, tenants, key("tenant"), "is no tenant of the configuration");
}

fn check_certificate(
    key_dir: &Path, name: &str, key: &str, errors: &mut ConfigErrors,
) -> Option<Certificate> {
    let pem = match std::fs::read_to_string(key_dir.join(name)) {
        Ok(pem) => pem,
        Err(error) => {
            errors.add(key, format!("{name}: {error}"));
            return None;
        }
    };
    match Certificate::from_pem(pem) {
        Ok(certificate) => Some(certificate),
        Err(error) => {
            errors.add(key, format!("{name}: {error}"));
            None
        }
    }
}

/// Reports a URL without scheme or host. An absent or empty URL is valid.
fn check_url(text: Option<&str>, key: &str, errors: &mut ConfigErrors) {
    let Some(text) = text.filter(|t| !t.is_empty()) else { return };
    let valid = text.parse::<Uri>().is_ok_and(|url| url.host().is_some() && url.scheme().is_some());
    errors.require(valid, key, format!("not a URL with scheme and host: {text:?}"));
}
