//! Names of hosts in requests and in the configuration.

use compact_str::CompactString;

/// A host without port and trailing dot, in lower case: the form in which hosts are compared.
pub fn normal_host(host: &str) -> CompactString {
    let is_port = |port: &str| port.bytes().all(|b| b.is_ascii_digit());
    let name = match host.rsplit_once(':') {
        Some((name, port)) if is_port(port) => name,
        _ => host,
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    CompactString::from(name).to_lowercase()
}
