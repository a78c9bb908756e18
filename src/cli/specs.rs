//! The commands and their options as data: parsing, help and completions read this one table.

/// An option.
pub(crate) struct Opt {
    /// With its dashes.
    pub(crate) flag: &'static str,
    /// Name of its value; none for a switch.
    pub(crate) value: Option<&'static str>,
    pub(crate) doc: &'static str,
    /// Shown as the default; empty for none.
    pub(crate) default: &'static str,
}

/// A command.
pub(crate) struct Spec {
    pub(crate) name: &'static str,
    /// Positional arguments as the usage line shows them.
    pub(crate) arguments: &'static str,
    /// Fewest and most positional arguments.
    pub(crate) count: (usize, usize),
    pub(crate) summary: &'static str,
    /// What a reader should know besides; may be empty.
    pub(crate) detail: &'static str,
    pub(crate) options: &'static [Opt],
    /// Command lines with what they do.
    pub(crate) examples: &'static [(&'static str, &'static str)],
}

const fn switch(flag: &'static str, doc: &'static str) -> Opt {
    Opt {
        flag,
        value: None,
        doc,
        default: "",
    }
}

const fn valued(
    flag: &'static str,
    value: &'static str,
    doc: &'static str,
    default: &'static str,
) -> Opt {
    Opt {
        flag,
        value: Some(value),
        doc,
        default,
    }
}

const YES: Opt = switch(
    "--yes",
    "go on without asking; needed where no one can be asked",
);

/// Options that every command takes.
pub(crate) const COMMON: &[Opt] = &[
    valued(
        "--server",
        "URL",
        "operators' interface: a control replica or an entry host; also YUCCAHOLD_SERVER",
        "http://127.0.0.1:7400",
    ),
    valued(
        "--token-file",
        "FILE",
        "file with the token to sign in with; also YUCCAHOLD_TOKEN_FILE",
        "",
    ),
    valued("--format", "text|json", "how results are printed", "text"),
    switch("--help", "print help"),
    switch("--version", "print the version"),
];

const MANY: usize = 1000;

/// All commands, in the order of the help page.
pub(crate) const SPECS: &[Spec] = &[
    Spec {
        name: "dev",
        arguments: "",
        count: (0, 0),
        summary: "Run a whole cell in one process",
        detail: "One control replica, one entry host, and stand-ins for 50 workers and 50 minions. \
                 Prints where the console and the callers' address are, then a live line. With \
                 --demo it drives a short mixed load on the cells of both examples, prints a \
                 summary and ends, with code 4 if anything was lost, doubled or overfilled.",
        options: &[
            valued(
                "--document",
                "FILE",
                "document of the cell",
                "the example massfenster",
            ),
            valued(
                "--data",
                "FOLDER",
                "folder of the cell's files",
                "yuccahold-data",
            ),
            switch("--demo", "drive a short load, print a summary and end"),
        ],
        examples: &[
            ("yuccahold dev --demo", "see both kinds of work go through"),
            (
                "yuccahold dev --document examples/torres.yaml",
                "a cell to try things on",
            ),
        ],
    },
    Spec {
        name: "check",
        arguments: "FILE...",
        count: (1, MANY),
        summary: "Check documents and settings without a server",
        detail: "A folder stands for one document in several files. All problems are told together, \
                 with file, line and column.",
        options: &[valued(
            "--as",
            "document|entry|control",
            "what the files hold",
            "guessed from their keys",
        )],
        examples: &[
            (
                "yuccahold check examples/massfenster.yaml",
                "check a document",
            ),
            ("yuccahold check /etc/yuccahold/*.yaml", "check settings"),
        ],
    },
    Spec {
        name: "apply",
        arguments: "FILE|FOLDER",
        count: (1, 1),
        summary: "Put a document in force",
        detail: "Shows the difference and what the cell will do, then asks. Fails with code 5, and \
                 shows the other operator's change, if the document was changed meanwhile.",
        options: &[
            valued(
                "--revision",
                "N",
                "revision the file was made from; refused if another is in force",
                "the one in force",
            ),
            YES,
        ],
        examples: &[
            ("yuccahold apply cell.yaml", "show the difference and ask"),
            ("yuccahold apply --yes cell/", "apply from a script"),
        ],
    },
    Spec {
        name: "show",
        arguments: "",
        count: (0, 0),
        summary: "Print the document in force",
        detail: "",
        options: &[valued(
            "--revision",
            "N",
            "an earlier one",
            "the one in force",
        )],
        examples: &[(
            "yuccahold show > cell.yaml",
            "take the document into version control",
        )],
    },
    Spec {
        name: "history",
        arguments: "",
        count: (0, 0),
        summary: "List accepted documents with who and when",
        detail: "",
        options: &[],
        examples: &[("yuccahold history", "list them, the latest first")],
    },
    Spec {
        name: "rollback",
        arguments: "N",
        count: (1, 1),
        summary: "Put an earlier document in force again, as a new revision",
        detail: "",
        options: &[YES],
        examples: &[(
            "yuccahold rollback 41",
            "show the difference to revision 41 and ask",
        )],
    },
    Spec {
        name: "submit",
        arguments: "KIND",
        count: (1, 1),
        summary: "Submit a job of a declared kind",
        detail: "Sent again under the same key, it is accepted once.",
        options: &[
            valued("--name", "NAME", "name of the job", "made from the key"),
            valued("--team", "TEAM", "team that is charged", "the kind's"),
            valued("--tasks", "N", "number of tasks", "the kind's"),
            valued("--payload", "TEXT", "opaque text handed to the worker", ""),
            valued("--key", "KEY", "idempotency key", "drawn anew"),
        ],
        examples: &[(
            "yuccahold submit cut-plan --name plan-0412 --key order-0412",
            "submit tonight's plan; safe to repeat",
        )],
    },
    Spec {
        name: "status",
        arguments: "[JOB]",
        count: (0, 1),
        summary: "Show the cell, or one job and why it waits",
        detail: "With --watch and a job, ends when the job has ended: with code 0 if it is done, \
                 with code 4 otherwise.",
        options: &[switch("--watch", "go on and show changes")],
        examples: &[
            ("yuccahold status", "workers, jobs, entry hosts, replicas"),
            (
                "yuccahold status plan-0412 --watch",
                "follow a job to its end",
            ),
        ],
    },
    Spec {
        name: "cancel",
        arguments: "JOB",
        count: (1, 1),
        summary: "Cancel a job; tasks that have not started never will",
        detail: "",
        options: &[],
        examples: &[("yuccahold cancel plan-0412", "cancel it")],
    },
    Spec {
        name: "drain",
        arguments: "[WORKER]",
        count: (0, 1),
        summary: "Empty a worker, a rack or an availability zone",
        detail: "Changes the document, as `apply` does.",
        options: &[
            valued(
                "--zone",
                "ZONE",
                "availability zone to empty, or the rack's",
                "",
            ),
            valued("--rack", "RACK", "rack to empty", ""),
            valued(
                "--within",
                "TIME",
                "time its tasks have to end or checkpoint",
                "10 min",
            ),
            switch("--undo", "take the drain back"),
            YES,
        ],
        examples: &[
            ("yuccahold drain worker-17", "empty one worker"),
            (
                "yuccahold drain --zone olten --rack r3 --within '30 min'",
                "empty a rack",
            ),
        ],
    },
    Spec {
        name: "report",
        arguments: "burn",
        count: (1, 1),
        summary: "Show how the objectives' error budgets burn, and what burned them",
        detail: "",
        options: &[valued(
            "--html",
            "FILE",
            "write a page with plots as well",
            "",
        )],
        examples: &[
            ("yuccahold report burn", "a table of all objectives"),
            (
                "yuccahold report burn --html burn.html",
                "with plots, in one file",
            ),
        ],
    },
    Spec {
        name: "token",
        arguments: "NAME",
        count: (1, 1),
        summary: "Make a token for an operator, and the lines for the file of operators",
        detail: "The token is shown once and kept nowhere; the file holds its hash.",
        options: &[
            valued(
                "--role",
                "view|operate|admin",
                "what the operator may do",
                "view",
            ),
            valued("--teams", "TEAM,...", "teams that `operate` extends to", ""),
        ],
        examples: &[(
            "yuccahold token anna --role admin",
            "let anna change everything",
        )],
    },
    Spec {
        name: "stand-in",
        arguments: "minion|worker",
        count: (1, 1),
        summary: "Run a stand-in minion or worker until interrupted",
        detail: "To try a cell out without back ends of one's own.",
        options: &[
            valued("--entries", "ADDR,...", "HTTP addresses of entry hosts", ""),
            valued("--id", "NAME", "its name", "minion-1 or worker-1"),
            valued("--zone", "ZONE", "its availability zone", "zone-a"),
            valued("--rack", "RACK", "a worker's rack", "rack-1"),
            valued("--service", "NAME", "service a minion answers", "service"),
            valued(
                "--listen",
                "ADDR",
                "where a minion takes requests",
                "127.0.0.1:0",
            ),
            valued("--slots", "N", "requests a minion works on at once", "8"),
            valued("--connections", "N", "connections a minion accepts", "64"),
            valued(
                "--service-time",
                "TIME",
                "time a minion takes for a request",
                "5 ms",
            ),
            valued("--jitter", "TIME", "greatest random addition to it", "none"),
            valued(
                "--fail-percent",
                "N",
                "requests a minion answers with status 500",
                "0",
            ),
            valued("--cores", "AMOUNT", "cores of a worker", "32 cores"),
            valued("--memory", "AMOUNT", "memory of a worker", "64 GB"),
            valued("--accelerators", "N", "accelerators of a worker", "0"),
            valued("--accelerator", "TYPE", "their type", ""),
            valued(
                "--time-scale",
                "X",
                "real seconds for each declared second",
                "1",
            ),
            switch("--fail-all", "every run of a worker fails at once"),
        ],
        examples: &[
            (
                "yuccahold stand-in minion --entries 127.0.0.1:8080 --service massrechner --zone bern-a",
                "a minion of the example",
            ),
            (
                "yuccahold stand-in worker --entries 127.0.0.1:8080 --zone bern-a --time-scale 0.01",
                "a worker that runs a hundred times faster than declared",
            ),
        ],
    },
    Spec {
        name: "explore",
        arguments: "",
        count: (0, 0),
        summary: "Explore schedules of failures of the replicated log",
        detail: "Runs whole groups of replicas in memory under lost, repeated and reordered \
                 messages, cuts, pauses, crashes, wiped disks and changes of members. A broken \
                 property ends with code 4 and the seed that repeats it.",
        options: &[
            valued("--from", "N", "first seed", "1"),
            valued("--seeds", "N", "number of seeds", "10000"),
            valued("--threads", "N", "threads", "4"),
        ],
        examples: &[(
            "yuccahold explore --seeds 1000000 --threads 8",
            "a million schedules",
        )],
    },
    Spec {
        name: "replay",
        arguments: "[TRACE...]",
        count: (0, MANY),
        summary: "Replay traces against the decision code, and check their stated outcomes",
        detail: "The outcome of TRACE.jsonl stands in TRACE.yaml. Ends with code 4 when one is \
                 not met.",
        options: &[
            valued(
                "--generate",
                "NAME,...",
                "traces to generate; `all` for every one",
                "",
            ),
            valued(
                "--seed",
                "N",
                "seed of generated traces and of the scheduler",
                "1",
            ),
            valued(
                "--write",
                "FOLDER",
                "write generated traces instead of replaying them",
                "",
            ),
            switch(
                "--baselines",
                "also replay with simple schedulers, to compare",
            ),
            valued(
                "--waiting-weight",
                "N",
                "weight of short waiting, 0 to 100",
                "the trace's",
            ),
            valued("--html", "FILE", "write a page with plots", ""),
        ],
        examples: &[
            (
                "yuccahold replay --generate all --baselines",
                "every generated trace",
            ),
            (
                "yuccahold replay traces/*.jsonl",
                "recorded traces with their outcomes",
            ),
        ],
    },
    Spec {
        name: "load",
        arguments: "",
        count: (0, 0),
        summary: "Put load on entry hosts and measure what callers see",
        detail: "Calls are made when they are due, whether or not earlier ones are answered. Give \
                 --service, --kind, or both.",
        options: &[
            valued(
                "--entries",
                "ADDR,...",
                "HTTP addresses of entry hosts, called in turn",
                "",
            ),
            valued("--service", "NAME", "service that is asked", ""),
            valued("--rate", "N", "requests a second", "100"),
            valued("--path", "PATH", "path behind the service", "/"),
            valued("--body", "BYTES", "body of a request; 0 for a GET", "0"),
            valued(
                "--deadline",
                "TIME",
                "time in which an answer counts",
                "2 s",
            ),
            valued(
                "--once-percent",
                "N",
                "requests that are not idempotent and carry a key",
                "0",
            ),
            valued(
                "--direct",
                "ADDR,...",
                "minions called without an entry host, to compare",
                "",
            ),
            valued("--direct-percent", "N", "requests that go to them", "0"),
            valued("--kind", "KIND", "kind of jobs that are submitted", ""),
            valued("--job-rate", "N", "jobs a second", "10"),
            valued("--tasks", "N", "tasks of each job", "the kind's"),
            valued(
                "--settle",
                "TIME",
                "time for jobs to end after the run",
                "10 s",
            ),
            valued(
                "--warm-up",
                "TIME",
                "time at the start that is not measured",
                "2 s",
            ),
            valued("--duration", "TIME", "time that is measured", "10 s"),
            valued("--seed", "N", "decides arrivals", "1"),
            valued(
                "--watch",
                "NAME=PID@ADDR,...",
                "processes whose use is measured",
                "",
            ),
            valued(
                "--html",
                "FILE",
                "write the report as a page with plots",
                "",
            ),
            valued(
                "--against",
                "FILE",
                "compare with an earlier report in JSON",
                "",
            ),
        ],
        examples: &[(
            "yuccahold load --entries 127.0.0.1:8080 --service massrechner --rate 500",
            "ten seconds of requests",
        )],
    },
    Spec {
        name: "completions",
        arguments: "bash|zsh|fish",
        count: (1, 1),
        summary: "Print a completion script for a shell",
        detail: "",
        options: &[],
        examples: &[(
            "yuccahold completions bash > ~/.local/share/bash-completion/completions/yuccahold",
            "install it",
        )],
    },
];
