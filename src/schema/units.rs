//! Units, and exact conversion of amounts written with them; no floating point is involved.

/// A unit's name and its size in the unit that amounts of its kind are stored in.
pub(super) type Unit = (&'static str, u64);

pub(super) const TIME_UNITS: &[Unit] = &[
    ("ms", 1),
    ("s", 1000),
    ("min", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];
pub(super) const MEMORY_UNITS: &[Unit] = &[("MB", 1), ("GB", 1000), ("TB", 1_000_000)];
pub(super) const BYTE_UNITS: &[Unit] = &[
    ("B", 1),
    ("kB", 1000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
pub(super) const CORE_UNITS: &[Unit] = &[("cores", 1000), ("core", 1000)];
pub(super) const PERCENT_UNITS: &[Unit] = &[("%", 1000)];

/// Parses an amount such as `1.5 GB` into an exact number of the stored unit. An amount that
/// is no whole number of it is refused rather than rounded.
pub(super) fn parse_units(text: &str, units: &[Unit], expected: &str) -> Result<u64, String> {
    let wrong = || format!("expected {expected}");
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(end);
    if number.is_empty() {
        return Err(wrong());
    }
    let unit = unit.trim();
    let size = match units.iter().find(|(name, _)| *name == unit) {
        Some((_, size)) => *size,
        None if unit.is_empty() => return Err(format!("the unit is missing; expected {expected}")),
        None => {
            let names: Vec<_> = units.iter().map(|(name, _)| *name).collect();
            let names = names.join(", ");
            return Err(format!(
                "unknown unit; expected {expected}, with a unit of {names}"
            ));
        }
    };
    let (whole, fraction) = number.split_once('.').unwrap_or((number, ""));
    if whole.is_empty() || number.ends_with('.') || fraction.len() > 9 {
        return Err(wrong());
    }
    let whole: u64 = whole.parse().map_err(|_| wrong())?;
    let mut total = whole.checked_mul(size).ok_or("this is too large")?;
    if !fraction.is_empty() {
        let digits: u64 = fraction.parse().map_err(|_| wrong())?;
        let scale = 10_u64.pow(fraction.len() as u32);
        let part = digits.checked_mul(size).ok_or("this is too large")?;
        if part % scale != 0 {
            return Err(format!(
                "this is finer than can be counted; expected {expected}"
            ));
        }
        total = total.checked_add(part / scale).ok_or("this is too large")?;
    }
    Ok(total)
}

/// Formats an amount in the largest unit that needs no fraction.
pub(super) fn write_units(amount: u64, units: &[Unit]) -> String {
    let fits = |u: &&Unit| amount != 0 && amount.is_multiple_of(u.1);
    let (name, size) = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{} {name}", amount / size)
}

/// Formats thousandths as a decimal number without trailing zeros.
pub(super) fn write_thousandths(amount: u64) -> String {
    let (whole, part) = (amount / 1000, amount % 1000);
    let fraction = format!("{part:03}");
    match fraction.trim_end_matches('0') {
        "" => whole.to_string(),
        digits => format!("{whole}.{digits}"),
    }
}

/// Converts an amount to `u32`; the error is a message for the user.
pub(super) fn to_u32(amount: u64) -> Result<u32, String> {
    u32::try_from(amount).map_err(|_| "this is too large".to_owned())
}
