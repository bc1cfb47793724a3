//! Functions that scenario files call.

use std::sync;
use std::time;

use rhai::{Array, Dynamic, Engine, EvalAltResult, Map};
use serde::de::DeserializeOwned;
use toucanledge_bench::{BackendFaults, FleetSignal, LinkDirection, PlatformFaults};

use crate::prove::ProveOptions;
use crate::prove::deployment::FleetOptions;
use crate::prove::load::LoadOptions;
use crate::prove::runner::{ScenarioRunner, StepResult};

/// Runner that the functions of one script engine share.
pub type SharedRunner = sync::Arc<sync::Mutex<ScenarioRunner>>;

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Creates a runner without a fleet.
pub fn new_shared_runner(handle: tokio::runtime::Handle, options: &ProveOptions) -> SharedRunner {
    let (policy, gateway) = (options.policy.clone(), options.gateway.clone());
    let runner = ScenarioRunner::new(handle, options.seed, policy, gateway);
    sync::Arc::new(sync::Mutex::new(runner))
}

/// Locks the runner, also after a panic of another holder.
pub fn lock(runner: &SharedRunner) -> sync::MutexGuard<'_, ScenarioRunner> {
    runner.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Builds a script engine with all scenario functions.
pub fn build_engine(runner: &SharedRunner) -> Engine {
    let mut engine = Engine::new();
    engine.on_print(|text| println!("[prove]   {text}"));
    register_fleet(&mut engine, runner);
    register_loads(&mut engine, runner);
    register_gateways(&mut engine, runner);
    register_partitions(&mut engine, runner);
    register_servers(&mut engine, runner);
    register_tables(&mut engine, runner);
    engine
}

fn register_fleet(engine: &mut Engine, shared: &SharedRunner) {
    let runner = sync::Arc::clone(shared);
    engine.register_fn("fleet", move |options: Map| -> ScriptResult<()> {
        let options: FleetOptions = from_script_map(&options)?;
        run_async(&runner, async |runner| runner.start_fleet(options).await)
    });
    let runner = sync::Arc::clone(shared);
    engine.register_fn("established", move || -> ScriptResult<()> {
        run_async(&runner, async |runner| runner.wait_established().await)
    });
    let runner = sync::Arc::clone(shared);
    engine.register_fn("pick", move |count: i64| -> ScriptResult<Array> {
        let count = usize::try_from(count).unwrap_or(0);
        run_sync(&runner, |runner| runner.pick_gateways(count)).map(to_array)
    });
    let runner = sync::Arc::clone(shared);
    engine.register_fn("rest", move |gateways: Array| -> ScriptResult<Array> {
        let gateways = indices(&gateways);
        let gateway_count = run_sync(&runner, |runner| Ok(runner.fleet()?.layout.gateways.len()))?;
        let others = (0..gateway_count).filter(|index| !gateways.contains(index));
        Ok(to_array(others.collect()))
    });
    engine.register_fn("wait", |seconds: Dynamic| {
        let seconds = seconds
            .as_float()
            .or_else(|_| seconds.as_int().map(to_float));
        let duration = time::Duration::try_from_secs_f64(seconds.unwrap_or(0.0));
        std::thread::sleep(duration.unwrap_or_default());
    });
}

fn register_loads(engine: &mut Engine, shared: &SharedRunner) {
    let runner = sync::Arc::clone(shared);
    engine.register_fn("load", move |options: Map| -> ScriptResult<()> {
        let options: LoadOptions = from_script_map(&options)?;
        run_sync(&runner, |runner| {
            runner.start_load(options);
            Ok(())
        })
    });
    let runner = sync::Arc::clone(shared);
    let resend = move |options: Map, times: i64| -> ScriptResult<()> {
        let (options, times) = (
            from_script_map(&options)?,
            usize::try_from(times).unwrap_or(0),
        );
        run_async(&runner, async |runner| {
            runner.send_sequentially(options, times).await
        })
    };
    engine.register_fn("resend", resend);
    let runner = sync::Arc::clone(shared);
    engine.register_fn("end_loads", move || -> ScriptResult<()> {
        run_async(&runner, async |runner| runner.end_loads().await.map(|_| ()))
    });
    let runner = sync::Arc::clone(shared);
    engine.register_fn("check", move || -> ScriptResult<()> {
        run_async(&runner, async |runner| runner.check().await)
    });
    let runner = sync::Arc::clone(shared);
    let expect = move |outcome: &str, min_count: i64| -> ScriptResult<()> {
        let min_count = usize::try_from(min_count).unwrap_or(0);
        run_sync(&runner, |runner| runner.expect_outcome(outcome, min_count))
    };
    engine.register_fn("expect_told", expect);
    let runner = sync::Arc::clone(shared);
    engine.register_fn(
        "expect_crashed",
        move |max_count: i64| -> ScriptResult<()> {
            let max_count = usize::try_from(max_count).unwrap_or(0);
            run_async(&runner, async |runner| {
                runner.expect_crashed(max_count).await
            })
        },
    );
    let runner = sync::Arc::clone(shared);
    engine.register_fn("watch_floor", move |share: f64| -> ScriptResult<()> {
        run_sync(&runner, |runner| runner.expect_floor(share))
    });
}

fn register_gateways(engine: &mut Engine, shared: &SharedRunner) {
    let signals = [
        ("kill", FleetSignal::Kill),
        ("freeze", FleetSignal::Stop),
        ("thaw", FleetSignal::Cont),
        ("stop", FleetSignal::Term),
    ];
    for (name, signal) in signals {
        let runner = sync::Arc::clone(shared);
        engine.register_fn(name, move |gateways: Array| -> ScriptResult<()> {
            run_sync(&runner, |runner| runner.signal(&indices(&gateways), signal))
        });
    }
    let runner = sync::Arc::clone(shared);
    let stopped = move |gateways: Array, limit_s: i64| -> ScriptResult<()> {
        let (gateways, limit_s) = (indices(&gateways), u64::try_from(limit_s).unwrap_or(0));
        run_async(&runner, async |runner| {
            runner.wait_stopped(&gateways, limit_s).await
        })
    };
    engine.register_fn("stopped", stopped);
    for (name, is_new) in [("restart", false), ("replace", true)] {
        let runner = sync::Arc::clone(shared);
        engine.register_fn(name, move |gateways: Array| -> ScriptResult<()> {
            let gateways = indices(&gateways);
            run_async(&runner, async |runner| {
                runner.restart_gateways(&gateways, is_new).await
            })
        });
    }
}

fn register_partitions(engine: &mut Engine, shared: &SharedRunner) {
    let runner = sync::Arc::clone(shared);
    let cut = move |from: Array, to: Array| -> ScriptResult<()> {
        let (from, to) = (indices(&from), indices(&to));
        run_async(&runner, async |runner| {
            runner.partition_gateways(&from, &to).await
        })
    };
    engine.register_fn("cut", cut);
    let directions = [
        ("cut_requests", LinkDirection::Upstream),
        ("cut_answers", LinkDirection::Downstream),
    ];
    for (name, direction) in directions {
        let runner = sync::Arc::clone(shared);
        let cut = move |gateways: Array, servers: Array| -> ScriptResult<()> {
            let (gateways, servers) = (indices(&gateways), indices(&servers));
            run_async(&runner, async |runner| {
                runner
                    .partition_servers(&gateways, &servers, direction)
                    .await
            })
        };
        engine.register_fn(name, cut);
    }
    let runner = sync::Arc::clone(shared);
    engine.register_fn("heal", move || -> ScriptResult<()> {
        run_async(&runner, async |runner| runner.heal().await)
    });
    for (name, is_reachable) in [("unreachable", false), ("reachable", true)] {
        let runner = sync::Arc::clone(shared);
        engine.register_fn(name, move |gateways: Array| -> ScriptResult<()> {
            let gateways = indices(&gateways);
            run_sync(&runner, |runner| {
                runner.set_reachable(&gateways, is_reachable)
            })
        });
    }
}

fn register_servers(engine: &mut Engine, shared: &SharedRunner) {
    let runner = sync::Arc::clone(shared);
    let pick = move |pool: &str, per_domain: i64| -> ScriptResult<Array> {
        let per_domain = usize::try_from(per_domain).unwrap_or(0);
        run_sync(&runner, |runner| runner.pick_servers(pool, per_domain)).map(to_array)
    };
    engine.register_fn("pick_servers", pick);
    for (name, is_healthy) in [("faults", false), ("mild_faults", true)] {
        let runner = sync::Arc::clone(shared);
        let set_faults = move |servers: Array, faults: Map| -> ScriptResult<()> {
            let (servers, faults): (_, BackendFaults) =
                (indices(&servers), from_script_map(&faults)?);
            run_async(&runner, async |runner| {
                runner.set_faults(&servers, faults, is_healthy).await
            })
        };
        engine.register_fn(name, set_faults);
    }
    let runner = sync::Arc::clone(shared);
    let leave = move |servers: Array, in_responses: bool| -> ScriptResult<()> {
        let servers = indices(&servers);
        run_async(&runner, async |runner| {
            runner.mark_leaving(&servers, in_responses).await
        })
    };
    engine.register_fn("leave", leave);
}

fn register_tables(engine: &mut Engine, shared: &SharedRunner) {
    let runner = sync::Arc::clone(shared);
    engine.register_fn("platform", move |faults: Map| -> ScriptResult<()> {
        let faults: PlatformFaults = from_script_map(&faults)?;
        run_async(&runner, async |runner| {
            runner.set_platform_faults(faults).await
        })
    });
    // Name, number of operators, whether the table is valid, and whether readers of the platform
    // can see it at once.
    let edits = [
        ("edit", 1, true, true),
        ("edit_together", 2, true, true),
        ("edit_wrong", 1, false, true),
        ("edit_unseen", 1, true, false),
    ];
    for (name, operators, is_valid, is_visible) in edits {
        let runner = sync::Arc::clone(shared);
        engine.register_fn(name, move || -> ScriptResult<()> {
            run_async(&runner, async |runner| {
                runner.publish_edits(operators, is_valid, is_visible).await
            })
        });
    }
    let runner = sync::Arc::clone(shared);
    engine.register_fn("watch_tables", move || -> ScriptResult<()> {
        run_sync(&runner, ScenarioRunner::poll_table_revisions)
    });
}

/// Runs an asynchronous step from the script thread.
fn run_async<T>(
    shared: &SharedRunner,
    step: impl AsyncFnOnce(&mut ScenarioRunner) -> StepResult<T>,
) -> ScriptResult<T> {
    let mut runner = lock(shared);
    let handle = runner.handle.clone();
    Ok(handle.block_on(step(&mut runner))?)
}

/// Runs a synchronous step from the script thread.
fn run_sync<T>(
    shared: &SharedRunner,
    step: impl FnOnce(&mut ScenarioRunner) -> StepResult<T>,
) -> ScriptResult<T> {
    Ok(step(&mut lock(shared))?)
}

/// Deserializes the options in a script map.
fn from_script_map<T: DeserializeOwned>(map: &Map) -> ScriptResult<T> {
    let text = rhai::format_map_as_json(map);
    serde_json::from_str(&text).map_err(|error| error.to_string().into())
}

/// Converts a script array to indices; skips values that are not indices.
fn indices(array: &Array) -> Vec<usize> {
    let numbers = array.iter().filter_map(|value| value.as_int().ok());
    numbers
        .filter_map(|number| usize::try_from(number).ok())
        .collect()
}

fn to_array(indices: Vec<usize>) -> Array {
    let numbers = indices
        .into_iter()
        .filter_map(|index| i64::try_from(index).ok());
    numbers.map(Dynamic::from_int).collect()
}

#[allow(clippy::cast_precision_loss)]
fn to_float(number: i64) -> f64 {
    number as f64
}
