//! S/MIME for AS2: signing, encrypting, and opening what a partner sent (RSA, SHA-256, AES-CBC).
use aes::cipher::block_padding::Pkcs7;
use aes::cipher::{BlockDecryptMut, KeyIvInit};
use base64::{engine::general_purpose::STANDARD, Engine};
use cms::builder::{
    ContentEncryptionAlgorithm, EnvelopedDataBuilder, KeyEncryptionInfo, KeyTransRecipientInfoBuilder,
    SignedDataBuilder, SignerInfoBuilder,
};
use cms::cert::{CertificateChoices, IssuerAndSerialNumber};
use cms::content_info::ContentInfo;
use cms::enveloped_data::{EnvelopedData, RecipientIdentifier, RecipientInfo};
use cms::signed_data::{EncapsulatedContentInfo, SignedData, SignerIdentifier};
use const_oid::db::rfc5911::{
    ID_AES_128_CBC, ID_AES_192_CBC, ID_AES_256_CBC, ID_DATA, ID_ENVELOPED_DATA, ID_MESSAGE_DIGEST,
};
use const_oid::db::rfc5912::ID_SHA_256;
use der::asn1::OctetString;
use der::{Any, Decode, Encode};
use rsa::pkcs1v15::{Signature, SigningKey, VerifyingKey};
use rsa::pkcs8::DecodePrivateKey;
use rsa::signature::Verifier;
use rsa::{Pkcs1v15Encrypt, RsaPrivateKey, RsaPublicKey};
use sha2::{Digest, Sha256};
use std::error::Error;
use x509_cert::spki::AlgorithmIdentifierOwned;
use x509_cert::Certificate;

type Fault = Box<dyn Error + Send + Sync>;

/// A MIME entity: its type, and its body without headers.
#[derive(Clone, Debug)]
pub struct Entity {
    pub content_type: String,
    pub body: Vec<u8>,
}

/// Why a partner's message is not accepted, in the words of a receipt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SmimeError {
    DecryptionFailed,
    AuthenticationFailed,
    IntegrityCheckFailed,
    InsufficientMessageSecurity,
}

impl SmimeError {
    pub fn disposition_modifier(self) -> &'static str {
        match self {
            SmimeError::DecryptionFailed => "decryption-failed",
            SmimeError::AuthenticationFailed => "authentication-failed",
            SmimeError::IntegrityCheckFailed => "integrity-check-failed",
            SmimeError::InsufficientMessageSecurity => "insufficient-message-security",
        }
    }
}

/// A private key and the certificate that partners know it by.
pub struct Identity {
    key: RsaPrivateKey,
    certificate: Certificate,
}

impl Identity {
    pub fn new(key: &str, certificate: Certificate) -> Result<Identity, Box<dyn Error>> {
        Ok(Identity { key: RsaPrivateKey::from_pkcs8_pem(key)?, certificate })
    }
}

/// The digest of a signed part, as receipts carry it.
pub fn message_integrity_check(part: &[u8]) -> String {
    STANDARD.encode(Sha256::digest(part))
}

fn issuer(certificate: &Certificate) -> IssuerAndSerialNumber {
    let c = &certificate.tbs_certificate;
    IssuerAndSerialNumber { issuer: c.issuer.clone(), serial_number: c.serial_number.clone() }
}

fn public_key(certificate: &Certificate) -> Option<RsaPublicKey> {
    let spki = certificate.tbs_certificate.subject_public_key_info.to_der().ok()?;
    rsa::pkcs8::DecodePublicKey::from_public_key_der(&spki).ok()
}

fn detached(part: &[u8], me: &Identity) -> Result<Vec<u8>, cms::builder::Error> {
    let digest = Sha256::digest(part);
    let algorithm = AlgorithmIdentifierOwned { oid: ID_SHA_256, parameters: None };
    let content = EncapsulatedContentInfo { econtent_type: ID_DATA, econtent: None };
    let signer = SigningKey::<Sha256>::new(me.key.clone());
    let who = SignerIdentifier::IssuerAndSerialNumber(issuer(&me.certificate));
    let info = SignerInfoBuilder::new(&signer, who, algorithm.clone(), &content, Some(&digest))?;
    let signed = SignedDataBuilder::new(&content)
        .add_digest_algorithm(algorithm)?
        .add_certificate(CertificateChoices::Certificate(me.certificate.clone()))?
        .add_signer_info::<SigningKey<Sha256>, Signature>(info)?
        .build()?;
    Ok(signed.to_der()?)
}

fn enveloped(plain: &[u8], key: RsaPublicKey, to: &Certificate) -> Result<Vec<u8>, cms::builder::Error> {
    let (mut rng, mut key_rng) = (rsa::rand_core::OsRng, rsa::rand_core::OsRng);
    let who = RecipientIdentifier::IssuerAndSerialNumber(issuer(to));
    let recipient = KeyTransRecipientInfoBuilder::new(who, KeyEncryptionInfo::Rsa(key), &mut key_rng)?;
    let data = EnvelopedDataBuilder::new(None, plain, ContentEncryptionAlgorithm::Aes256Cbc, None)?
        .add_recipient_info(recipient)?
        .build_with_rng(&mut rng)?;
    let content = Any::from_der(&data.to_der()?)?;
    Ok(ContentInfo { content_type: ID_ENVELOPED_DATA, content }.to_der()?)
}

/// Wraps a part (headers and body) as multipart/signed.
pub fn sign(part: &[u8], me: &Identity) -> Result<Entity, Fault> {
    let signature = detached(part, me).map_err(|e| e.to_string())?;
    let line = |chunk: &[u8]| format!("{}\r\n", String::from_utf8_lossy(chunk));
    let text: String = STANDARD.encode(signature).as_bytes().chunks(76).map(line).collect();
    // No payload holds its own digest, so this boundary is in none.
    let boundary = format!("=_{}", message_integrity_check(part).replace(['/', '+', '='], "_"));
    let mut body = format!("--{boundary}\r\n").into_bytes();
    body.extend_from_slice(part);
    body.extend_from_slice(
        format!(
            "\r\n--{boundary}\r\nContent-Type: application/pkcs7-signature; name=smime.p7s\r\n\
             Content-Transfer-Encoding: base64\r\n\r\n{text}\r\n--{boundary}--\r\n"
        )
        .as_bytes(),
    );
    let content_type = format!(
        "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"{boundary}\""
    );
    Ok(Entity { content_type, body })
}

/// Wraps an entity as enveloped data for the holder of a certificate.
pub fn encrypt(entity: &Entity, to: &Certificate) -> Result<Entity, Fault> {
    let mut plain = format!("Content-Type: {}\r\n\r\n", entity.content_type).into_bytes();
    plain.extend_from_slice(&entity.body);
    let key = public_key(to).ok_or("the partner's certificate holds no RSA key")?;
    let body = enveloped(&plain, key, to).map_err(|e| e.to_string())?;
    let content_type = "application/pkcs7-mime; smime-type=enveloped-data; name=smime.p7m".to_string();
    Ok(Entity { content_type, body })
}

/// Decrypts if need be, checks the signature against the partner's certificate, and gives the signed part.
pub fn decrypt_and_verify(
    entity: Entity, me: &Identity, partner: &Certificate,
) -> Result<Vec<u8>, SmimeError> {
    let entity = match media_type(&entity.content_type).as_str() {
        "application/pkcs7-mime" | "application/x-pkcs7-mime" => {
            let plain = decrypt(&entity.body, me).ok_or(SmimeError::DecryptionFailed)?;
            parse_entity(&plain).ok_or(SmimeError::DecryptionFailed)?
        }
        _ => entity,
    };
    if media_type(&entity.content_type) != "multipart/signed" {
        return Err(SmimeError::InsufficientMessageSecurity);
    }
    let parts = parts(&entity).ok_or(SmimeError::IntegrityCheckFailed)?;
    let [part, signature, ..] = &parts[..] else { return Err(SmimeError::IntegrityCheckFailed) };
    let signature = signature_bytes(signature).ok_or(SmimeError::AuthenticationFailed)?;
    verify(part, &signature, partner)?;
    Ok(part.to_vec())
}

fn decrypt(body: &[u8], me: &Identity) -> Option<Vec<u8>> {
    let info = ContentInfo::from_der(body).ok().filter(|i| i.content_type == ID_ENVELOPED_DATA)?;
    let data: EnvelopedData = info.content.decode_as().ok()?;
    let mine = RecipientIdentifier::IssuerAndSerialNumber(issuer(&me.certificate));
    let wrapped = data.recip_infos.0.iter().find_map(|r| match r {
        RecipientInfo::Ktri(k) if k.rid == mine => Some(k.enc_key.as_bytes()),
        _ => None,
    })?;
    let key = me.key.decrypt(Pkcs1v15Encrypt, wrapped).ok()?;
    let content = &data.encrypted_content;
    let iv: OctetString = content.content_enc_alg.parameters.as_ref()?.decode_as().ok()?;
    let (iv, text) = (iv.as_bytes(), content.encrypted_content.as_ref()?.as_bytes());
    match content.content_enc_alg.oid {
        ID_AES_128_CBC => cbc::Decryptor::<aes::Aes128>::new_from_slices(&key, iv)
            .ok()?
            .decrypt_padded_vec_mut::<Pkcs7>(text)
            .ok(),
        ID_AES_192_CBC => cbc::Decryptor::<aes::Aes192>::new_from_slices(&key, iv)
            .ok()?
            .decrypt_padded_vec_mut::<Pkcs7>(text)
            .ok(),
        ID_AES_256_CBC => cbc::Decryptor::<aes::Aes256>::new_from_slices(&key, iv)
            .ok()?
            .decrypt_padded_vec_mut::<Pkcs7>(text)
            .ok(),
        _ => None,
    }
}

fn verify(part: &[u8], signature: &[u8], partner: &Certificate) -> Result<(), SmimeError> {
    let no = SmimeError::AuthenticationFailed;
    let info = ContentInfo::from_der(signature).map_err(|_| no)?;
    let data: SignedData = info.content.decode_as().map_err(|_| no)?;
    let signer = data.signer_infos.0.iter().next().ok_or(no)?;
    if signer.digest_alg.oid != ID_SHA_256 {
        return Err(no);
    }
    // Guards against a swapped key: the certificate that we hold decides, never the one that came along.
    let key = VerifyingKey::<Sha256>::new(public_key(partner).ok_or(no)?);
    let value = Signature::try_from(signer.signature.as_bytes()).map_err(|_| no)?;
    let Some(attributes) = &signer.signed_attrs else {
        return key.verify(part, &value).map_err(|_| no);
    };
    key.verify(&attributes.to_der().map_err(|_| no)?, &value).map_err(|_| no)?;
    let told = attributes.iter().find(|a| a.oid == ID_MESSAGE_DIGEST).and_then(|a| a.values.iter().next());
    let told: OctetString = told.and_then(|v| v.decode_as().ok()).ok_or(no)?;
    if told.as_bytes() == Sha256::digest(part).as_slice() {
        Ok(())
    } else {
        Err(SmimeError::IntegrityCheckFailed)
    }
}

// ---- MIME, as far as AS2 needs it.

/// The type without its parameters, in small letters.
pub fn media_type(content_type: &str) -> String {
    content_type.split(';').next().unwrap_or_default().trim().to_ascii_lowercase()
}

fn parameter(content_type: &str, name: &str) -> Option<String> {
    content_type.split(';').skip(1).find_map(|p| {
        let (key, value) = p.split_once('=')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().trim_matches('"').to_string())
    })
}

fn find(text: &[u8], what: &[u8]) -> Option<usize> {
    text.windows(what.len()).position(|w| w == what)
}

/// Parts a MIME text into its head, unfolded, and its body.
fn head_and_body(text: &[u8]) -> Option<(String, &[u8])> {
    let (end, gap) = match find(text, b"\r\n\r\n") {
        Some(end) => (end, 4),
        None => (find(text, b"\n\n")?, 2),
    };
    let head = String::from_utf8_lossy(&text[..end]).replace("\r\n", "\n");
    Some((head.replace("\n ", " ").replace("\n\t", " "), &text[end + gap..]))
}

fn field(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|l| l.split_once(':'));
    lines.filter(|(n, _)| n.trim().eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string()).next()
}

/// A MIME text as an entity.
pub fn parse_entity(text: &[u8]) -> Option<Entity> {
    let (head, body) = head_and_body(text)?;
    Some(Entity { content_type: field(&head, "content-type")?, body: body.to_vec() })
}

/// The body of a part, with a transfer encoding taken off.
pub fn decoded_body(part: &[u8]) -> Option<Vec<u8>> {
    let (head, body) = head_and_body(part)?;
    match field(&head, "content-transfer-encoding") {
        Some(e) if e.eq_ignore_ascii_case("base64") => {
            let bare: Vec<u8> = body.iter().copied().filter(|b| !b.is_ascii_whitespace()).collect();
            STANDARD.decode(bare).ok()
        }
        _ => Some(body.to_vec()),
    }
}

fn signature_bytes(part: &[u8]) -> Option<Vec<u8>> {
    decoded_body(part)
}

/// The parts of a multipart entity, each byte for byte: what was signed must not be touched.
pub fn parts(entity: &Entity) -> Option<Vec<&[u8]>> {
    let mark = format!("--{}", parameter(&entity.content_type, "boundary")?).into_bytes();
    let mut rest = &entity.body[find(&entity.body, &mark)? + mark.len()..];
    let mut parts = Vec::new();
    while !rest.starts_with(b"--") {
        let start = find(rest, b"\n")? + 1;
        let end = start + find(&rest[start..], &mark)?;
        let part = &rest[start..end];
        let part = part.strip_suffix(b"\r\n").or(part.strip_suffix(b"\n")).unwrap_or(part);
        parts.push(part);
        rest = &rest[end + mark.len()..];
    }
    Some(parts)
}
