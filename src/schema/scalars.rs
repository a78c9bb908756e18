//! Scalar types of the schema: parsing, canonical text and description of each.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use compact_str::CompactString;

use super::units::{
    BYTE_UNITS, CORE_UNITS, MEMORY_UNITS, PERCENT_UNITS, TIME_UNITS, parse_units, to_u32,
    write_thousandths, write_units,
};
use super::{Scalar, Texts};

/// Maximum length of a name in bytes; names are ASCII.
const MAX_NAME: usize = 63;
/// Maximum length of a free text in bytes.
const MAX_TEXT: usize = 4096;

/// Checks a name used as a key. Dots are refused because they separate keys in paths.
pub(crate) fn check_name(text: &str) -> Result<(), String> {
    check_label(text)?;
    if text.contains('.') {
        return Err("a name used as a key has no dot".to_owned());
    }
    Ok(())
}

/// Checks a name used as a value, which may contain dots.
fn check_label(text: &str) -> Result<(), String> {
    let inner = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let starts = text.starts_with(|c: char| c.is_ascii_alphanumeric());
    if !starts || !text.chars().all(inner) || text.len() > MAX_NAME {
        return Err(format!("expected {}", label_help()));
    }
    Ok(())
}

fn label_help() -> String {
    format!("a name of at most {MAX_NAME} letters, digits, `-`, `_` or `.`, such as `bern-a`")
}

/// A name; an empty one counts as absent.
pub struct Name<'a>(pub &'a mut CompactString);

impl Scalar for Name<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        check_label(text)?;
        *self.0 = text.into();
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.0.to_string()).filter(|t| !t.is_empty())
    }

    fn expected(&self) -> String {
        label_help()
    }
}

/// A name that may be absent.
pub struct OptionalName<'a>(pub &'a mut Option<CompactString>);

impl Scalar for OptionalName<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        check_label(text)?;
        *self.0 = Some(text.into());
        Ok(())
    }

    fn text(&self) -> Option<String> {
        self.0.as_ref().map(ToString::to_string)
    }

    fn expected(&self) -> String {
        label_help()
    }
}

/// A name that is one component of a value assembled from several fields.
pub struct Part<'a, T> {
    whole: &'a mut T,
    get: fn(&T) -> Option<&CompactString>,
    set: fn(&mut T, CompactString) -> Result<(), String>,
}

impl<'a, T> Part<'a, T> {
    /// Binds the component to `whole` through a getter and a setter; the setter's error is a
    /// message for the user.
    pub fn new(
        whole: &'a mut T,
        get: fn(&T) -> Option<&CompactString>,
        set: fn(&mut T, CompactString) -> Result<(), String>,
    ) -> Self {
        Self { whole, get, set }
    }
}

impl<T> Scalar for Part<'_, T> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        check_label(text)?;
        (self.set)(self.whole, text.into())
    }

    fn text(&self) -> Option<String> {
        (self.get)(self.whole).map(ToString::to_string)
    }

    fn expected(&self) -> String {
        label_help()
    }
}

/// A free text of limited length.
pub struct Text<'a>(pub &'a mut CompactString);

impl Scalar for Text<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        if text.len() > MAX_TEXT {
            return Err(format!("expected {}", self.expected()));
        }
        *self.0 = text.into();
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.0.to_string())
    }

    fn expected(&self) -> String {
        format!("a text of at most {MAX_TEXT} bytes")
    }
}

/// A duration in whole milliseconds.
pub struct Span<'a>(pub &'a mut Duration);

impl Scalar for Span<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = Duration::from_millis(parse_units(text, TIME_UNITS, &self.expected())?);
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(write_units(self.0.as_millis() as u64, TIME_UNITS))
    }

    fn expected(&self) -> String {
        "a time such as `250 ms`, `30 s` or `8 h`".to_owned()
    }
}

/// An amount of memory in megabytes (10^6 bytes).
pub struct Megabytes<'a>(pub &'a mut u32);

impl Scalar for Megabytes<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = to_u32(parse_units(text, MEMORY_UNITS, &self.expected())?)?;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(write_units(u64::from(*self.0), MEMORY_UNITS))
    }

    fn expected(&self) -> String {
        "an amount of memory such as `64 GB` or `512 MB`".to_owned()
    }
}

/// A size in bytes, written with decimal or binary units.
pub struct Bytes<'a>(pub &'a mut u64);

impl Scalar for Bytes<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = parse_units(text, BYTE_UNITS, &self.expected())?;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(write_units(*self.0, BYTE_UNITS))
    }

    fn expected(&self) -> String {
        "a size such as `64 kB`, `1 MB` or `8 MiB`".to_owned()
    }
}

/// A number of processor cores in thousandths of a core.
pub struct Cores<'a>(pub &'a mut u32);

impl Scalar for Cores<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = to_u32(parse_units(text, CORE_UNITS, &self.expected())?)?;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        let unit = if *self.0 == 1000 { "core" } else { "cores" };
        Some(format!("{} {unit}", write_thousandths(u64::from(*self.0))))
    }

    fn expected(&self) -> String {
        "a number of cores such as `8 cores` or `0.5 cores`".to_owned()
    }
}

/// A whole percentage, 0 to 100.
pub struct Percent<'a>(pub &'a mut u32);

impl Scalar for Percent<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        let thousandths = parse_units(text, PERCENT_UNITS, &self.expected())?;
        if thousandths > 100_000 || thousandths % 1000 != 0 {
            return Err(format!("expected {}", self.expected()));
        }
        *self.0 = (thousandths / 1000) as u32;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(format!("{} %", self.0))
    }

    fn expected(&self) -> String {
        "a whole percentage from `0 %` to `100 %`".to_owned()
    }
}

/// A percentage in thousandths of a percent.
pub struct Millipercent<'a>(pub &'a mut u32);

impl Scalar for Millipercent<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        let thousandths = parse_units(text, PERCENT_UNITS, &self.expected())?;
        if thousandths > 100_000 {
            return Err(format!("expected {}", self.expected()));
        }
        *self.0 = thousandths as u32;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(format!("{} %", write_thousandths(u64::from(*self.0))))
    }

    fn expected(&self) -> String {
        "a percentage such as `99.9 %`, with three decimals at most".to_owned()
    }
}

/// A whole number within inclusive bounds.
pub struct Count<'a> {
    slot: &'a mut u32,
    least: u32,
    most: u32,
}

impl<'a> Count<'a> {
    /// Binds a number that must lie from `least` to `most`, both included.
    pub fn new(slot: &'a mut u32, least: u32, most: u32) -> Self {
        Self { slot, least, most }
    }
}

impl Scalar for Count<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        let plain = text.chars().all(|c| c.is_ascii_digit());
        let number = if plain { text.parse().ok() } else { None };
        let in_bounds = |n: &u32| (self.least..=self.most).contains(n);
        let Some(number) = number.filter(in_bounds) else {
            return Err(format!("expected {}", self.expected()));
        };
        *self.slot = number;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.slot.to_string())
    }

    fn expected(&self) -> String {
        format!("a whole number from {} to {}", self.least, self.most)
    }
}

/// A boolean, written `true` or `false`.
pub struct Toggle<'a>(pub &'a mut bool);

impl Scalar for Toggle<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = match text {
            "true" => true,
            "false" => false,
            _ => return Err(format!("expected {}", self.expected())),
        };
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.0.to_string())
    }

    fn expected(&self) -> String {
        "`true` or `false`".to_owned()
    }

    fn choices(&self) -> Vec<&'static str> {
        vec!["true", "false"]
    }
}

/// An enumeration whose values are each written as one word.
pub trait Choice: Copy + PartialEq + 'static {
    /// Every word with its value.
    const WORDS: &'static [(&'static str, Self)];
}

/// A value of an enumeration.
pub struct Chosen<'a, T: Choice>(pub &'a mut T);

impl<T: Choice> Scalar for Chosen<'_, T> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        let found = T::WORDS.iter().find(|(word, _)| *word == text);
        let Some((_, value)) = found else {
            return Err(format!("expected {}", self.expected()));
        };
        *self.0 = *value;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        let found = T::WORDS.iter().find(|(_, value)| value == self.0);
        found.map(|(word, _)| (*word).to_owned())
    }

    fn expected(&self) -> String {
        format!("one of {}", self.choices().join(", "))
    }

    fn choices(&self) -> Vec<&'static str> {
        T::WORDS.iter().map(|(word, _)| *word).collect()
    }
}

/// A network address with a port.
pub struct Address<'a>(pub &'a mut SocketAddr);

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    let addr: Result<SocketAddr, _> = text.parse();
    addr.map_err(|_| format!("expected {}", address_help()))
}

fn address_help() -> String {
    "an IP address and port such as `10.0.0.5:7400` or `[fd00::5]:7400`".to_owned()
}

impl Scalar for Address<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = parse_address(text)?;
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.0.to_string())
    }

    fn expected(&self) -> String {
        address_help()
    }
}

/// A network address that may be absent.
pub struct OptionalAddress<'a>(pub &'a mut Option<SocketAddr>);

impl Scalar for OptionalAddress<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        *self.0 = Some(parse_address(text)?);
        Ok(())
    }

    fn text(&self) -> Option<String> {
        self.0.map(|a| a.to_string())
    }

    fn expected(&self) -> String {
        address_help()
    }
}

/// A path of a file or folder; an empty one counts as absent.
pub struct FilePath<'a>(pub &'a mut PathBuf);

impl Scalar for FilePath<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        if text.is_empty() || text.contains('\0') {
            return Err(format!("expected {}", self.expected()));
        }
        *self.0 = PathBuf::from(text);
        Ok(())
    }

    fn text(&self) -> Option<String> {
        Some(self.0.display().to_string()).filter(|t| !t.is_empty())
    }

    fn expected(&self) -> String {
        "a path; a relative one counts from the folder of this file".to_owned()
    }
}

/// A path that may be absent.
pub struct OptionalPath<'a>(pub &'a mut Option<PathBuf>);

impl Scalar for OptionalPath<'_> {
    fn parse(&mut self, text: &str) -> Result<(), String> {
        FilePath(self.0.insert(PathBuf::new())).parse(text)
    }

    fn text(&self) -> Option<String> {
        self.0.as_ref().map(|p| p.display().to_string())
    }

    fn expected(&self) -> String {
        FilePath(&mut PathBuf::new()).expected()
    }
}

/// A list of names, or of records whose only field is a name.
pub struct Names<'a, T> {
    slot: &'a mut Vec<T>,
    make: fn(CompactString) -> T,
    name: fn(&T) -> &CompactString,
}

impl<'a, T> Names<'a, T> {
    /// Binds a list; `make` creates an element from a name and `name` returns an element's name.
    pub fn new(
        slot: &'a mut Vec<T>,
        make: fn(CompactString) -> T,
        name: fn(&T) -> &CompactString,
    ) -> Self {
        Self { slot, make, name }
    }
}

impl<T> Texts for Names<'_, T> {
    fn push(&mut self, text: &str) -> Result<(), String> {
        check_label(text)?;
        self.slot.push((self.make)(text.into()));
        Ok(())
    }

    fn all(&self) -> Vec<String> {
        self.slot
            .iter()
            .map(|t| (self.name)(t).to_string())
            .collect()
    }

    fn expected(&self) -> String {
        label_help()
    }

    fn clear(&mut self) {
        self.slot.clear();
    }
}

/// A list of network addresses.
pub struct Addresses<'a>(pub &'a mut Vec<SocketAddr>);

impl Texts for Addresses<'_> {
    fn push(&mut self, text: &str) -> Result<(), String> {
        self.0.push(parse_address(text)?);
        Ok(())
    }

    fn all(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }

    fn expected(&self) -> String {
        address_help()
    }

    fn clear(&mut self) {
        self.0.clear();
    }
}
