//! The first message of an agent: what it is and what it can do.

use std::fmt;

use serde::de::{SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};

use crate::ids::ZoneName;

/// Orders that an agent can send to minions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum AgentSkill {
    /// Starts, stops and holds.
    #[default]
    Basic,
    /// Also orders that set the speed of a run.
    Pacing,
}

/// Sent first by processes that act as agents.
///
/// An agent of an earlier version sends only its availability zone, and a leader of an earlier
/// version reads no more: what follows has a default, and unknown values count as the highest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentHello {
    /// Availability zone of the process.
    pub zone: ZoneName,
    /// Orders that it can send.
    pub skill: AgentSkill,
}

impl AgentHello {
    /// The hello of a process of this version.
    pub fn new(zone: impl Into<ZoneName>) -> Self {
        Self {
            zone: zone.into(),
            skill: AgentSkill::Pacing,
        }
    }
}

impl AgentSkill {
    fn from_number(number: u32) -> Self {
        match number {
            0 => Self::Basic,
            _ => Self::Pacing,
        }
    }
}

impl Serialize for AgentHello {
    fn serialize<S: serde::Serializer>(&self, out: S) -> Result<S::Ok, S::Error> {
        (&self.zone, self.skill as u32).serialize(out)
    }
}

impl<'de> Deserialize<'de> for AgentHello {
    fn deserialize<D: Deserializer<'de>>(input: D) -> Result<Self, D::Error> {
        input.deserialize_tuple(2, HelloVisitor)
    }
}

struct HelloVisitor;

impl<'de> Visitor<'de> for HelloVisitor {
    type Value = AgentHello;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an availability zone and the orders that the agent can send")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<AgentHello, A::Error> {
        let zone = fields.next_element()?;
        let zone = zone.ok_or_else(|| serde::de::Error::invalid_length(0, &self))?;
        // The message of an earlier version ends here.
        let skill: Option<u32> = fields.next_element().unwrap_or_default();
        Ok(AgentHello {
            zone,
            skill: skill.map_or(AgentSkill::Basic, AgentSkill::from_number),
        })
    }
}
