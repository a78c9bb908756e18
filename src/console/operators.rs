//! The file of operators: names, roles, teams and hashes of tokens.

use std::collections::BTreeMap;
use std::path::Path;

use argon2::password_hash::phc::PasswordHash;
use argon2::password_hash::{PasswordHasher, PasswordVerifier};
use argon2::{Algorithm, Argon2, Params, Version};
use compact_str::CompactString;

use crate::error::{Error, Result, Step};
use crate::ids::TeamName;
use crate::schema::{
    Choice, Chosen, Field, Finding, Names, Problems, Record, Text, Visitor, read_file, read_with,
};

/// Name of a person or program that signs in.
pub type OperatorName = CompactString;

/// Memory of one hash in KiB. A token is 160 random bits, so guessing fails without the tens of
/// megabytes that a password's hash would need, and a daemon stays small.
const HASH_MEMORY_KIB: u32 = 4096;
/// Passes over that memory.
const HASH_PASSES: u32 = 2;
/// Random bytes of a token.
const TOKEN_BYTES: usize = 20;

/// What an operator may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// See everything.
    #[default]
    View,
    /// Also submit and cancel jobs, and change the document's parts of the own teams.
    Operate,
    /// Also change the whole document.
    Admin,
}

impl Choice for Role {
    const WORDS: &'static [(&'static str, Self)] = &[
        ("view", Self::View),
        ("operate", Self::Operate),
        ("admin", Self::Admin),
    ];
}

/// One operator.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// What the operator may do.
    pub role: Role,
    /// Teams whose jobs and parts of the document `operate` extends to.
    pub teams: Vec<TeamName>,
    /// Hash of the token, as a PHC string.
    pub token_hash: CompactString,
}

/// All operators of a cell.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operators {
    /// By name.
    pub operators: BTreeMap<OperatorName, Operator>,
}

impl Record for Operator {
    fn visit(&mut self, v: &mut dyn Visitor) {
        let role = Field::required("role", "What the operator may do.");
        v.scalar(role, &mut Chosen(&mut self.role));
        let mut teams = Names::new(&mut self.teams, |name| name, |name| name);
        let field = Field::optional("teams", "Teams that `operate` extends to.");
        v.texts(field, &mut teams);
        let hash = Field::required("token_hash", "From `yuccahold token`.");
        v.scalar(hash, &mut Text(&mut self.token_hash));
    }

    fn initial() -> Self {
        Self::default()
    }

    fn blank(&self) -> Box<dyn Record> {
        Box::new(Self::initial())
    }
}

impl Record for Operators {
    fn visit(&mut self, v: &mut dyn Visitor) {
        let field = Field::required("operators", "Operators by name.");
        v.records(field, &mut self.operators);
    }

    fn initial() -> Self {
        Self::default()
    }

    fn blank(&self) -> Box<dyn Record> {
        Box::new(Self::initial())
    }
}

impl Operators {
    /// Reads and checks the file's text.
    pub fn parse(name: &str, text: &str) -> std::result::Result<Self, Problems> {
        read_with(name, text, |file: &Self| {
            let bad = |hash: &str| PasswordHash::new(hash).is_err();
            let bad = file.operators.iter().filter(|(_, o)| bad(&o.token_hash));
            bad.map(|(name, _)| {
                let path = format!("operators.{name}.token_hash");
                Finding::new(path, "this is no hash made by `yuccahold token`")
            })
            .collect()
        })
    }

    /// Reads and checks a file.
    pub fn load(path: &Path) -> std::result::Result<Self, Problems> {
        read_file(path, Self::parse)
    }

    /// The operator whose token this is. Slow by purpose.
    pub(super) fn verify(&self, token: &str) -> Option<(&OperatorName, &Operator)> {
        let (name, _) = token.split_once('.')?;
        let (name, operator) = self.operators.get_key_value(name)?;
        let hash = PasswordHash::new(&operator.token_hash).ok()?;
        let verified = Argon2::default().verify_password(token.as_bytes(), &hash);
        verified.ok().map(|()| (name, operator))
    }
}

/// A new token with its hash.
#[derive(Clone, PartialEq, Eq)]
pub struct NewToken {
    /// What the operator signs in with; kept nowhere.
    pub token: String,
    /// What the file of operators holds.
    pub hash: String,
}

/// Draws a token for an operator.
pub fn new_token(name: &str) -> Result<NewToken> {
    let bytes: [u8; TOKEN_BYTES] = rand::random();
    let digits: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
    let token = format!("{name}.{digits}");
    let failed = |what: String| Error::new(Step::Settings, format!("hashing a token: {what}"));
    let params = Params::new(HASH_MEMORY_KIB, HASH_PASSES, 1, None);
    let params = params.map_err(|e| failed(e.to_string()))?;
    let argon2 = Argon2::new(Algorithm::Argon2id, Version::V0x13, params);
    let hash = argon2.hash_password(token.as_bytes());
    let hash = hash.map_err(|e| failed(e.to_string()))?.to_string();
    Ok(NewToken { token, hash })
}
