//! Writes the dispatcher's events to the log and to the metrics.

use std::time::Duration;

use metrics::{counter, gauge, histogram};
use slog::{Logger, info, o, warn};

use super::event::Event;
use super::job_end::JobEndReason;
use super::model::{Grouping, JobId};

/// Writes an event as one log line. Workspaces that are below their limit are not logged.
pub fn write_event(log: &Logger, event: &Event) {
    let ms = |d: &Duration| d.as_millis() as u64;
    match event {
        Event::JobAccepted {
            job,
            queue,
            workspace,
            unstarted,
        } => info!(log, "job accepted"; "job" => format!("{job:016x}"),
            "queue" => queue.as_str(), "workspace" => workspace.as_deref(),
            "unstarted" => unstarted),
        Event::JobsWithoutService {
            jobs,
            first,
            service,
            waited,
        } => warn!(log, "jobs of a service that is not configured"; "jobs" => jobs,
            "job" => format!("{first:016x}"), "service" => service.as_str(),
            "waited_ms" => ms(waited)),
        Event::JobArrivedCancelled { job } => info!(log, "job arrived after its cancellation";
            "job" => format!("{job:016x}")),
        Event::EarlyCancels(_) => {}
        Event::JobRefused {
            job,
            queue,
            workspace,
            wait,
            after,
            excess,
            useful,
            logged,
            ..
        } => {
            if *logged {
                info!(log, "job refused"; "job" => format!("{job:016x}"),
                    "queue" => queue.as_str(), "workspace" => workspace.as_str(),
                    "wait_ms" => ms(wait), "retry_after_ms" => ms(after), "excess" => excess,
                    "useful" => useful);
            }
        }
        Event::JobEnded {
            job,
            state,
            reason,
            age,
        } => write_job_ended(log, *job, state, *reason, *age),
        Event::AttemptCounted {
            task,
            run,
            grouping,
            attempts,
        } => info!(log, "attempt counted"; "task" => %task, "run" => run,
            "grouping" => grouping_value(*grouping), "used" => attempts.used,
            "allowed" => attempts.allowed),
        Event::RunPlaced {
            task,
            run,
            minion,
            age,
            estimate,
            slack,
            free,
            heard,
        } => info!(log, "run placed"; "task" => %task, "run" => run, "minion" => minion.as_str(),
            "age_ms" => ms(age), "estimate_ms" => ms(estimate),
            "slack_ms" => ms(slack), "free_millicores" => free, "heard_ms" => ms(heard)),
        Event::RunEnded {
            task,
            run,
            minion,
            kind,
            age,
        } => info!(log, "run ended"; "task" => %task, "run" => run, "minion" => minion.as_str(),
            "how" => kind.as_str(), "age_ms" => ms(age)),
        Event::StartFailed {
            task,
            run,
            minion,
            why,
            tries,
        } => info!(log, "start failed"; "task" => %task, "run" => run,
            "minion" => minion.as_str(), "why" => why, "tries" => tries),
        Event::MinionJoined { minion, started } => info!(log, "minion joined";
            "minion" => minion.as_str(), "started_ms" => started.as_ref().map(ms)),
        Event::MinionRestarted {
            minion,
            started,
            before,
            heard,
            runs,
        } => info!(log, "minion started again"; "minion" => minion.as_str(),
            "started_ms" => started.as_ref().map(ms), "before_ms" => before.as_ref().map(ms),
            "heard_ms" => ms(heard), "runs" => runs),
        Event::MinionResized { minion, capacity } => info!(log, "minion resized";
            "minion" => minion.as_str(), "millicores" => capacity.millicores,
            "mb" => capacity.memory_mb, "accelerators" => capacity.accelerators),
        Event::MinionDraining { minion, sequence } => info!(log, "minion draining";
            "minion" => minion.as_str(), "sequence" => sequence),
        Event::MinionLeft { minion, runs } => info!(log, "minion left";
            "minion" => minion.as_str(), "runs" => runs),
        Event::MinionBack { minion } => info!(log, "minion back in service";
            "minion" => minion.as_str()),
        Event::MinionSilent {
            minion,
            brought,
            heard,
            runs,
        } => info!(log, "minion silent"; "minion" => minion.as_str(), "brought" => brought,
            "heard_ms" => ms(heard), "runs" => runs),
        Event::MinionGone {
            minion,
            why,
            heard,
            runs,
        } => info!(log, "minion gone"; "minion" => minion.as_str(), "why" => why,
            "heard_ms" => ms(heard), "runs" => runs),
        Event::CrashCounted {
            task,
            run,
            minion,
            certainty,
        } => info!(log, "crash counted"; "task" => %task, "run" => run,
            "minion" => minion.as_str(), "certainty" => certainty.as_str()),
        Event::RowsUnreadable { minion, rows } => warn!(log, "rows cannot be read";
            "minion" => minion.as_str(), "rows" => rows),
        Event::LeadBegan {
            term,
            runs,
            jobs,
            config,
        } => info!(log, "leadership began"; "term" => term, "runs" => runs, "jobs" => jobs,
            "config" => config),
        Event::StepAdvised {
            step,
            waiting,
            asked,
            good,
            took,
        } => info!(log, "step advised"; "step" => %step, "waiting" => waiting, "asked" => asked,
            "good" => good, "took_ms" => ms(took)),
        Event::RunPreempted { task, run, by } => info!(log, "run preempted";
            "task" => %task, "run" => run, "by" => %by),
        Event::RunMoved { task, run } => info!(log, "run moved";
            "task" => %task, "run" => run),
        Event::CopyPlaced {
            task,
            run,
            minion,
            why,
        } => info!(log, "copy placed"; "task" => %task, "run" => run,
            "minion" => minion.as_str(), "why" => why),
        Event::CopyOver { task, run, won } => info!(log, "copy over";
            "task" => %task, "run" => run, "won" => won),
        Event::StepWaits {
            step,
            waiting,
            age,
            good,
            tickets,
            room,
            asked,
            limited,
            excess,
        } => info!(log, "step waits"; "step" => %step, "waiting" => waiting,
            "age_ms" => ms(age), "good" => good, "tickets" => tickets, "room" => room,
            "asked" => asked, "limited" => limited, "surplus" => excess),
        Event::BestEffortPaced {
            minion,
            speed,
            tail,
        } => info!(log, "speed of tasks that use idle CPU changed"; "minion" => minion.as_str(),
            "percent" => speed, "tail_percent_of_target" => tail),
        Event::BestEffortStopped { minion, runs, tail } => warn!(log,
            "tasks that use idle CPU stopped"; "minion" => minion.as_str(), "runs" => runs,
            "tail_percent_of_target" => tail),
        Event::LastingWaits {
            step,
            without,
            waiting,
            silent,
            lease,
            late_starts,
            late,
            asked,
            limited,
            minions,
            excluded,
        } => info!(log, "lasting step waits"; "step" => %step, "without_ms" => ms(without),
            "waiting" => waiting, "silent" => silent, "lease_ms" => ms(lease),
            "late_starts" => late_starts, "late_ms" => ms(late), "asked" => asked,
            "limited" => limited, "minions" => minions, "other_service" => excluded.service,
            "no_label" => excluded.label, "forbidden" => excluded.forbidden,
            "silent_minions" => excluded.silent, "no_work" => excluded.no_work,
            "max_per_minion" => excluded.max_per_minion,
            "disturbed" => excluded.disturbed, "no_room" => excluded.room,
            "reserved" => excluded.reserved, "no_ticket" => excluded.no_ticket),
        Event::WorkspaceUse {
            workspace,
            used,
            limit,
            waiting,
            limited,
        } => {
            if *limited > 0 {
                info!(log, "workspace at its limit"; "workspace" => workspace.as_str(),
                    "used_millicores" => used.millicores, "millicores" => limit.millicores,
                    "used_mb" => used.memory_mb, "mb" => limit.memory_mb,
                    "used_accelerators" => used.accelerators,
                    "accelerators" => limit.accelerators,
                    "waiting" => waiting, "limited" => limited);
            }
        }
        Event::Cell {
            minions,
            used,
            capacity,
            waiting,
            steps,
            questions,
            agents,
            copies,
            lasting_overdue,
            unservable,
        } => info!(log, "cell"; "minions" => minions, "used_millicores" => used.millicores,
            "millicores" => capacity.millicores, "used_mb" => used.memory_mb,
            "mb" => capacity.memory_mb, "used_accelerators" => used.accelerators,
            "accelerators" => capacity.accelerators, "waiting" => waiting, "steps" => steps,
            "questions" => questions, "agents" => agents, "copies" => copies,
            "lasting_overdue" => lasting_overdue, "unservable" => unservable),
        Event::ConfigInForce { version, queues } => info!(log, "configuration in force";
            "version" => version, "queues" => queues),
    }
}

fn write_job_ended(
    log: &Logger,
    job: JobId,
    state: &'static str,
    reason: JobEndReason,
    age: Duration,
) {
    let log = log.new(o!("job" => format!("{job:016x}"), "state" => state,
        "why" => reason.as_str(), "age_ms" => age.as_millis() as u64));
    match reason {
        JobEndReason::TaskFailed(task, attempts) => info!(log, "job ended"; "task" => %task,
            "attempts_used" => attempts.used, "attempts_allowed" => attempts.allowed),
        JobEndReason::GangFailed(step, attempts) => info!(log, "job ended"; "step" => %step,
            "attempts_used" => attempts.used, "attempts_allowed" => attempts.allowed),
        JobEndReason::Crashes { task, counts } => info!(log, "job ended";
            "task" => task.map(|task| task.to_string()), "crashes_begun" => counts.confirmed,
            "crashes_in_doubt" => counts.in_doubt, "crashes_possible" => counts.possible),
        _ => info!(log, "job ended"),
    }
}

fn grouping_value(grouping: Grouping) -> &'static str {
    match grouping {
        Grouping::Single => "single",
        Grouping::Gang => "gang",
    }
}

/// Updates the metrics for an event.
pub(crate) fn count_event(event: &Event) {
    match event {
        Event::JobAccepted { unstarted, .. } => {
            counter!("yuccahold_batch_jobs_accepted_total").increment(1);
            gauge!("yuccahold_batch_jobs_unstarted").set(*unstarted as f64);
        }
        Event::JobArrivedCancelled { .. } => {
            counter!("yuccahold_batch_jobs_arrived_cancelled_total").increment(1);
        }
        Event::EarlyCancels(remembered) => {
            gauge!("yuccahold_batch_early_cancels").set(f64::from(*remembered));
        }
        Event::JobRefused {
            excess,
            after,
            places,
            ..
        } => {
            let why = if *excess { "excess" } else { "late" };
            counter!("yuccahold_batch_jobs_refused_total", "why" => why).increment(1);
            histogram!("yuccahold_batch_retry_after_seconds").record(after.as_secs_f64());
            gauge!("yuccahold_batch_places_kept").set(*places as f64);
        }
        Event::JobEnded {
            state, reason, age, ..
        } => {
            counter!("yuccahold_batch_jobs_ended_total", "state" => *state,
                "why" => reason.as_str())
            .increment(1);
            histogram!("yuccahold_batch_job_seconds").record(age.as_secs_f64());
        }
        Event::AttemptCounted { grouping, .. } => {
            counter!("yuccahold_batch_attempts_counted_total",
                "grouping" => grouping_value(*grouping))
            .increment(1);
        }
        Event::RunPlaced { run, age, .. } => {
            counter!("yuccahold_batch_runs_placed_total").increment(1);
            if *run == 1 {
                histogram!("yuccahold_batch_accepted_to_placed_seconds").record(age.as_secs_f64());
            }
        }
        Event::RunEnded { kind, age, .. } => {
            counter!("yuccahold_batch_runs_ended_total", "how" => kind.as_str()).increment(1);
            histogram!("yuccahold_batch_run_seconds").record(age.as_secs_f64());
        }
        Event::StartFailed { why, .. } => {
            counter!("yuccahold_batch_starts_failed_total", "why" => *why).increment(1);
        }
        Event::MinionJoined { .. } => counter!("yuccahold_batch_minions_joined_total").increment(1),
        Event::MinionBack { .. } => counter!("yuccahold_batch_minions_back_total").increment(1),
        Event::MinionRestarted { .. } => {
            counter!("yuccahold_batch_minions_restarted_total").increment(1);
        }
        Event::MinionResized { .. } => {
            counter!("yuccahold_batch_minions_resized_total").increment(1)
        }
        Event::MinionDraining { .. } => {
            counter!("yuccahold_batch_minions_draining_total").increment(1);
        }
        Event::MinionLeft { .. } => counter!("yuccahold_batch_minions_left_total").increment(1),
        Event::MinionSilent { .. } => counter!("yuccahold_batch_minions_silent_total").increment(1),
        Event::MinionGone { heard, runs, .. } => {
            counter!("yuccahold_batch_minions_gone_total").increment(1);
            if *runs > 0 {
                histogram!("yuccahold_batch_minion_gone_seconds").record(heard.as_secs_f64());
            }
        }
        Event::CrashCounted { certainty, .. } => {
            counter!("yuccahold_batch_crashes_counted_total", "certainty" => certainty.as_str())
                .increment(1);
        }
        Event::LeadBegan { term, .. } => {
            counter!("yuccahold_batch_leads_total").increment(1);
            gauge!("yuccahold_batch_term").set(*term as f64);
        }
        Event::StepAdvised { good, took, .. } => {
            let answered = if good.is_some() { "yes" } else { "no" };
            counter!("yuccahold_batch_questions_total", "answered" => answered).increment(1);
            histogram!("yuccahold_batch_question_seconds").record(took.as_secs_f64());
        }
        Event::RunPreempted { .. } => {
            counter!("yuccahold_batch_runs_preempted_total").increment(1);
        }
        Event::RunMoved { .. } => {
            counter!("yuccahold_batch_runs_moved_total").increment(1);
        }
        Event::CopyPlaced { why, .. } => {
            counter!("yuccahold_batch_copies_placed_total", "why" => *why).increment(1);
        }
        Event::CopyOver { won, .. } => {
            let won = if *won { "yes" } else { "no" };
            counter!("yuccahold_batch_copies_over_total", "won" => won).increment(1);
        }
        Event::BestEffortPaced { .. } => {
            counter!("yuccahold_batch_speed_changes_total").increment(1);
        }
        Event::BestEffortStopped { runs, .. } => {
            counter!("yuccahold_batch_disturbing_runs_stopped_total").increment(*runs as u64);
        }
        Event::StepWaits { .. } | Event::LastingWaits { .. } | Event::JobsWithoutService { .. } => {
        }
        Event::WorkspaceUse {
            workspace,
            used,
            limit,
            waiting,
            limited,
        } => {
            let name = || workspace.to_string();
            let share = used.dominant_share(limit);
            gauge!("yuccahold_batch_workspace_limit_share", "workspace" => name()).set(share);
            gauge!("yuccahold_batch_workspace_tasks_waiting", "workspace" => name())
                .set(*waiting as f64);
            gauge!("yuccahold_batch_workspace_tasks_limited", "workspace" => name())
                .set(*limited as f64);
        }
        Event::RowsUnreadable { rows, .. } => {
            counter!("yuccahold_platform_unreadable_rows_total", "list" => "runs")
                .increment(u64::from(*rows));
        }
        Event::Cell {
            minions,
            used,
            capacity,
            waiting,
            copies,
            lasting_overdue,
            unservable,
            ..
        } => {
            gauge!("yuccahold_batch_minions").set(*minions as f64);
            gauge!("yuccahold_batch_millicores_used").set(f64::from(used.millicores));
            gauge!("yuccahold_batch_millicores").set(f64::from(capacity.millicores));
            gauge!("yuccahold_batch_tasks_waiting").set(*waiting as f64);
            gauge!("yuccahold_batch_copies").set(*copies as f64);
            gauge!("yuccahold_batch_lasting_tasks_overdue").set(*lasting_overdue as f64);
            gauge!("yuccahold_batch_jobs_without_service").set(*unservable as f64);
        }
        Event::ConfigInForce { version, .. } => {
            gauge!("yuccahold_batch_config_version").set(*version as f64);
        }
    }
}
