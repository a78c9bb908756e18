//! Completion scripts, made from the table of commands.

use std::fmt::Write;

use super::config::Shell;
use super::specs::{COMMON, Opt, SPECS, Spec};

/// The script for one shell.
pub(super) fn script(shell: Shell) -> String {
    match shell {
        Shell::Bash => bash(),
        Shell::Zsh => format!("autoload -U +X bashcompinit && bashcompinit\n{}", bash()),
        Shell::Fish => fish(),
    }
}

fn options(spec: &Spec) -> impl Iterator<Item = &Opt> {
    spec.options.iter().chain(COMMON)
}

fn bash() -> String {
    let names: Vec<_> = SPECS.iter().map(|s| s.name).collect();
    let mut cases = String::new();
    for spec in SPECS {
        let flags: Vec<_> = options(spec).map(|o| o.flag).collect();
        let _ = writeln!(
            cases,
            "        {}) words=\"{}\" ;;",
            spec.name,
            flags.join(" ")
        );
    }
    format!(
        "_yuccahold() {{
    local word=\"${{COMP_WORDS[COMP_CWORD]}}\" words=\"\"
    if [ \"$COMP_CWORD\" -eq 1 ]; then
        COMPREPLY=($(compgen -W \"{} --help --version\" -- \"$word\"))
        return
    fi
    case \"${{COMP_WORDS[1]}}\" in
{cases}    esac
    case \"$word\" in
        -*) COMPREPLY=($(compgen -W \"$words\" -- \"$word\")) ;;
        *) COMPREPLY=($(compgen -f -- \"$word\")) ;;
    esac
}}
complete -o filenames -F _yuccahold yuccahold
",
        names.join(" ")
    )
}

fn fish() -> String {
    let mut out = String::new();
    for spec in SPECS {
        let _ = writeln!(
            out,
            "complete -c yuccahold -n __fish_use_subcommand -a {} -d {}",
            spec.name,
            quoted(spec.summary)
        );
        for option in options(spec) {
            let takes = if option.value.is_some() { " -r" } else { "" };
            let _ = writeln!(
                out,
                "complete -c yuccahold -n '__fish_seen_subcommand_from {}' -l {}{takes} -d {}",
                spec.name,
                option.flag.trim_start_matches('-'),
                quoted(option.doc)
            );
        }
    }
    out
}

fn quoted(text: &str) -> String {
    format!("'{}'", text.replace('\'', "\\'"))
}
