//! S/MIME (RFC 8551) for AS2: signs, verifies, encrypts and decrypts with RSA, SHA-256 and AES-CBC.
pub use super::mime::{decoded_body, parse_entity, Entity};

use super::mime::{body_parts, media_type};
use super::As2Error;
use aes::cipher::block_padding::Pkcs7;
use aes::cipher::{BlockCipher, BlockDecryptMut, KeyInit, KeyIvInit};
use aes::{Aes128, Aes192, Aes256};
use base64::{engine::general_purpose::STANDARD, Engine};
use cms::builder::{
    ContentEncryptionAlgorithm, EnvelopedDataBuilder, KeyEncryptionInfo, KeyTransRecipientInfoBuilder,
    SignedDataBuilder, SignerInfoBuilder,
};
use cms::cert::{CertificateChoices, IssuerAndSerialNumber};
use cms::content_info::ContentInfo;
use cms::enveloped_data::{EnvelopedData, RecipientIdentifier, RecipientInfo};
use cms::signed_data::{EncapsulatedContentInfo, SignedAttributes, SignedData, SignerIdentifier};
use const_oid::db::rfc5911::{
    ID_AES_128_CBC, ID_AES_192_CBC, ID_AES_256_CBC, ID_DATA, ID_ENVELOPED_DATA, ID_MESSAGE_DIGEST,
};
use const_oid::db::rfc5912::ID_SHA_256;
use der::asn1::OctetString;
use der::{Any, Decode, Encode};
use rsa::pkcs1v15::{Signature, SigningKey, VerifyingKey};
use rsa::pkcs8::{DecodePrivateKey, DecodePublicKey};
use rsa::rand_core::OsRng;
use rsa::signature::Verifier;
use rsa::{Pkcs1v15Encrypt, RsaPrivateKey, RsaPublicKey};
use sha2::{Digest, Sha256};
use x509_cert::spki::AlgorithmIdentifierOwned;
use x509_cert::Certificate;

/// Maximum number of base64 characters in a line (RFC 2045, section 6.8).
const BASE64_LINE_LENGTH: usize = 76;

/// Why a partner's entity is rejected. The text is the disposition modifier (RFC 4130, section 7.5.3).
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{}", self.disposition_modifier())]
pub enum SmimeError {
    /// The entity cannot be decrypted with the local key: the partner may have encrypted it for an outdated certificate.
    DecryptionFailed,
    /// The signature does not match the partner's certificate in the settings: the partner may use a new one.
    AuthenticationFailed,
    /// The content does not match the signed digest, or the multipart structure is broken.
    IntegrityCheckFailed,
    /// The entity is not signed.
    InsufficientMessageSecurity,
}

impl SmimeError {
    /// Returns the disposition modifier for an MDN (RFC 4130, section 7.5.3).
    pub fn disposition_modifier(self) -> &'static str {
        match self {
            SmimeError::DecryptionFailed => "decryption-failed",
            SmimeError::AuthenticationFailed => "authentication-failed",
            SmimeError::IntegrityCheckFailed => "integrity-check-failed",
            SmimeError::InsufficientMessageSecurity => "insufficient-message-security",
        }
    }
}

/// The local private key, and its certificate, which partners use to verify signatures and to encrypt messages.
pub struct Identity {
    key: RsaPrivateKey,
    certificate: Certificate,
}

impl Identity {
    /// Creates an identity from a private key in PKCS #8 PEM and its certificate.
    ///
    /// # Errors
    ///
    /// `key_pem` is not an RSA key in PKCS #8 PEM.
    pub fn new(key_pem: &str, certificate: Certificate) -> Result<Identity, rsa::pkcs8::Error> {
        Ok(Identity { key: RsaPrivateKey::from_pkcs8_pem(key_pem)?, certificate })
    }
}

/// Returns the message integrity check (MIC) of a signed part: its SHA-256 digest in base64 (RFC 4130, section 7.3.1).
pub fn message_integrity_check(part: &[u8]) -> String {
    STANDARD.encode(Sha256::digest(part))
}

/// Signs a part (headers and body) and wraps it as `multipart/signed` (RFC 8551, section 3.5.3).
///
/// # Errors
///
/// The part cannot be signed with the key.
pub fn sign(part: &[u8], signer: &Identity) -> Result<Entity, As2Error> {
    let signature = detached_signature(part, signer)?;
    let signature = base64_lines(&signature);
    // A boundary must not occur in the part. It is made of the part's digest, which the part cannot contain.
    let boundary = format!("=_{}", message_integrity_check(part).replace(['/', '+', '='], "_"));
    let mut body = format!("--{boundary}\r\n").into_bytes();
    body.extend_from_slice(part);
    let signature_part = format!(
        "\r\n--{boundary}\r\nContent-Type: application/pkcs7-signature; name=smime.p7s\r\n\
         Content-Transfer-Encoding: base64\r\n\r\n{signature}\r\n--{boundary}--\r\n"
    );
    body.extend_from_slice(signature_part.as_bytes());
    let content_type = format!(
        "multipart/signed; protocol=\"application/pkcs7-signature\"; micalg=sha-256; boundary=\"{boundary}\""
    );
    Ok(Entity { content_type, body })
}

/// Encrypts an entity for the owner of a certificate, as `enveloped-data` (RFC 8551, section 3.3).
///
/// # Errors
///
/// The certificate has no RSA key, or the entity cannot be encrypted for it.
pub fn encrypt(entity: &Entity, recipient: &Certificate) -> Result<Entity, As2Error> {
    let mut plain = format!("Content-Type: {}\r\n\r\n", entity.content_type).into_bytes();
    plain.extend_from_slice(&entity.body);
    let key = public_key(recipient).ok_or(As2Error::NoRsaKey)?;
    let body = enveloped_data(&plain, key, recipient)?;
    let content_type = "application/pkcs7-mime; smime-type=enveloped-data; name=smime.p7m".to_string();
    Ok(Entity { content_type, body })
}

/// Decrypts an entity if it is encrypted, verifies its signature against the partner's certificate, and returns the
/// signed part.
///
/// # Errors
///
/// The entity cannot be decrypted, is not signed, or its signature is not the partner's.
pub fn decrypt_and_verify(
    entity: Entity, recipient: &Identity, partner: &Certificate,
) -> Result<Vec<u8>, SmimeError> {
    let entity = match media_type(&entity.content_type).as_str() {
        "application/pkcs7-mime" | "application/x-pkcs7-mime" => {
            let plain = decrypt(&entity.body, recipient).ok_or(SmimeError::DecryptionFailed)?;
            parse_entity(&plain).ok_or(SmimeError::DecryptionFailed)?
        }
        _ => entity,
    };
    if media_type(&entity.content_type) != "multipart/signed" {
        return Err(SmimeError::InsufficientMessageSecurity);
    }
    let parts = body_parts(&entity).ok_or(SmimeError::IntegrityCheckFailed)?;
    let [part, signature, ..] = &parts[..] else { return Err(SmimeError::IntegrityCheckFailed) };
    let signature = decoded_body(signature).ok_or(SmimeError::AuthenticationFailed)?;
    verify(part, &signature, partner)?;
    Ok(part.to_vec())
}

fn base64_lines(bytes: &[u8]) -> String {
    let base64 = STANDARD.encode(bytes);
    let lines = base64.as_bytes().chunks(BASE64_LINE_LENGTH);
    lines.map(|line| format!("{}\r\n", String::from_utf8_lossy(line))).collect()
}

fn issuer_and_serial(certificate: &Certificate) -> IssuerAndSerialNumber {
    let certificate = &certificate.tbs_certificate;
    IssuerAndSerialNumber {
        issuer: certificate.issuer.clone(),
        serial_number: certificate.serial_number.clone(),
    }
}

fn public_key(certificate: &Certificate) -> Option<RsaPublicKey> {
    let key_info = certificate.tbs_certificate.subject_public_key_info.to_der().ok()?;
    RsaPublicKey::from_public_key_der(&key_info).ok()
}

/// Returns a CMS `SignedData` without the content (RFC 5652, section 5).
fn detached_signature(part: &[u8], signer: &Identity) -> Result<Vec<u8>, cms::builder::Error> {
    let digest = Sha256::digest(part);
    let algorithm = AlgorithmIdentifierOwned { oid: ID_SHA_256, parameters: None };
    let content = EncapsulatedContentInfo { econtent_type: ID_DATA, econtent: None };
    let key = SigningKey::<Sha256>::new(signer.key.clone());
    let signer_id = SignerIdentifier::IssuerAndSerialNumber(issuer_and_serial(&signer.certificate));
    let signer_info = SignerInfoBuilder::new(&key, signer_id, algorithm.clone(), &content, Some(&digest))?;
    let signed = SignedDataBuilder::new(&content)
        .add_digest_algorithm(algorithm)?
        .add_certificate(CertificateChoices::Certificate(signer.certificate.clone()))?
        .add_signer_info::<SigningKey<Sha256>, Signature>(signer_info)?
        .build()?;
    Ok(signed.to_der()?)
}

/// Returns a CMS `EnvelopedData` (RFC 5652, section 6).
fn enveloped_data(
    plain: &[u8], key: RsaPublicKey, recipient: &Certificate,
) -> Result<Vec<u8>, cms::builder::Error> {
    let mut key_rng = OsRng;
    let mut content_rng = OsRng;
    let recipient_id = RecipientIdentifier::IssuerAndSerialNumber(issuer_and_serial(recipient));
    let recipient_info =
        KeyTransRecipientInfoBuilder::new(recipient_id, KeyEncryptionInfo::Rsa(key), &mut key_rng)?;
    let data = EnvelopedDataBuilder::new(None, plain, ContentEncryptionAlgorithm::Aes256Cbc, None)?
        .add_recipient_info(recipient_info)?
        .build_with_rng(&mut content_rng)?;
    let content = Any::from_der(&data.to_der()?)?;
    Ok(ContentInfo { content_type: ID_ENVELOPED_DATA, content }.to_der()?)
}

fn decrypt(body: &[u8], recipient: &Identity) -> Option<Vec<u8>> {
    let info = ContentInfo::from_der(body).ok()?;
    if info.content_type != ID_ENVELOPED_DATA {
        return None;
    }
    let data: EnvelopedData = info.content.decode_as().ok()?;
    let encrypted_key = encrypted_key(&data, recipient)?;
    let key = recipient.key.decrypt(Pkcs1v15Encrypt, encrypted_key).ok()?;
    let content = &data.encrypted_content;
    let iv: OctetString = content.content_enc_alg.parameters.as_ref()?.decode_as().ok()?;
    let ciphertext = content.encrypted_content.as_ref()?.as_bytes();
    match content.content_enc_alg.oid {
        ID_AES_128_CBC => decrypt_cbc::<Aes128>(&key, iv.as_bytes(), ciphertext),
        ID_AES_192_CBC => decrypt_cbc::<Aes192>(&key, iv.as_bytes(), ciphertext),
        ID_AES_256_CBC => decrypt_cbc::<Aes256>(&key, iv.as_bytes(), ciphertext),
        _ => None,
    }
}

/// Returns the content-encryption key, encrypted for this recipient.
fn encrypted_key<'a>(data: &'a EnvelopedData, recipient: &Identity) -> Option<&'a [u8]> {
    let recipient_id = RecipientIdentifier::IssuerAndSerialNumber(issuer_and_serial(&recipient.certificate));
    data.recip_infos.0.iter().find_map(|info| match info {
        RecipientInfo::Ktri(info) if info.rid == recipient_id => Some(info.enc_key.as_bytes()),
        _ => None,
    })
}

fn decrypt_cbc<C>(key: &[u8], iv: &[u8], ciphertext: &[u8]) -> Option<Vec<u8>>
where
    C: BlockCipher + BlockDecryptMut + KeyInit,
{
    let cipher = cbc::Decryptor::<C>::new_from_slices(key, iv).ok()?;
    cipher.decrypt_padded_vec_mut::<Pkcs7>(ciphertext).ok()
}

fn verify(part: &[u8], signature: &[u8], partner: &Certificate) -> Result<(), SmimeError> {
    const FAILED: SmimeError = SmimeError::AuthenticationFailed;
    let info = ContentInfo::from_der(signature).map_err(|_| FAILED)?;
    let data: SignedData = info.content.decode_as().map_err(|_| FAILED)?;
    let signer = data.signer_infos.0.iter().next().ok_or(FAILED)?;
    if signer.digest_alg.oid != ID_SHA_256 {
        return Err(FAILED);
    }
    // Uses only the partner's certificate from the settings. A certificate in the message could be forged.
    let key = VerifyingKey::<Sha256>::new(public_key(partner).ok_or(FAILED)?);
    let value = Signature::try_from(signer.signature.as_bytes()).map_err(|_| FAILED)?;
    let Some(attributes) = &signer.signed_attrs else {
        return key.verify(part, &value).map_err(|_| FAILED);
    };
    // With signed attributes, the signature covers the attributes, which contain the part's digest (RFC 5652, section 5.4).
    let signed = attributes.to_der().map_err(|_| FAILED)?;
    key.verify(&signed, &value).map_err(|_| FAILED)?;
    let digest = message_digest(attributes).ok_or(FAILED)?;
    if digest.as_bytes() != Sha256::digest(part).as_slice() {
        return Err(SmimeError::IntegrityCheckFailed);
    }
    Ok(())
}

/// Returns the message-digest attribute (RFC 5652, section 11.2).
fn message_digest(attributes: &SignedAttributes) -> Option<OctetString> {
    let attribute = attributes.iter().find(|a| a.oid == ID_MESSAGE_DIGEST)?;
    attribute.values.iter().next()?.decode_as().ok()
}
