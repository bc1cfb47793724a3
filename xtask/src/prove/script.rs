//! Functions that scenario scripts call.

use std::sync;
use std::time;

use rhai::{Array, Dynamic, Engine, EvalAltResult, Map};
use serde::de::DeserializeOwned;
use toucanledge_bench::{BackendFaults, FleetSignal, LinkDirection, PlatformFaults};

use crate::prove::ProveOptions;
use crate::prove::deployment::FleetOptions;
use crate::prove::load::LoadShape;
use crate::prove::stage::{Stage, StepResult};

/// Stage that the functions of one script share.
pub type SharedStage = sync::Arc<sync::Mutex<Stage>>;

type ScriptResult<T> = Result<T, Box<EvalAltResult>>;

/// Returns a stage without a fleet.
pub fn shared_stage(handle: tokio::runtime::Handle, options: &ProveOptions) -> SharedStage {
    let (policy, gateway) = (options.policy.clone(), options.gateway.clone());
    let stage = Stage::new(handle, options.seed, policy, gateway);
    sync::Arc::new(sync::Mutex::new(stage))
}

/// Locks a stage.
pub fn lock(stage: &SharedStage) -> sync::MutexGuard<'_, Stage> {
    stage.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Returns an engine with all functions.
pub fn engine(stage: &SharedStage) -> Engine {
    let mut engine = Engine::new();
    engine.on_print(|text| println!("[prove]   {text}"));
    register_fleet(&mut engine, stage);
    register_loads(&mut engine, stage);
    register_gateways(&mut engine, stage);
    register_cuts(&mut engine, stage);
    register_servers(&mut engine, stage);
    register_tables(&mut engine, stage);
    engine
}

fn register_fleet(engine: &mut Engine, shared: &SharedStage) {
    let stage = sync::Arc::clone(shared);
    engine.register_fn("fleet", move |options: Map| -> ScriptResult<()> {
        let options: FleetOptions = read(&options)?;
        step(&stage, async |stage| stage.start_fleet(options).await)
    });
    let stage = sync::Arc::clone(shared);
    engine.register_fn("established", move || -> ScriptResult<()> {
        step(&stage, async |stage| stage.wait_established().await)
    });
    let stage = sync::Arc::clone(shared);
    engine.register_fn("pick", move |count: i64| -> ScriptResult<Array> {
        let count = usize::try_from(count).unwrap_or(0);
        now(&stage, |stage| stage.pick_gateways(count)).map(to_array)
    });
    let stage = sync::Arc::clone(shared);
    engine.register_fn("rest", move |listed: Array| -> ScriptResult<Array> {
        let listed = indices(&listed);
        let all = now(&stage, |stage| Ok(stage.fleet()?.layout.gateways.len()))?;
        let others = (0..all).filter(|index| !listed.contains(index));
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

fn register_loads(engine: &mut Engine, shared: &SharedStage) {
    let stage = sync::Arc::clone(shared);
    engine.register_fn("load", move |shape: Map| -> ScriptResult<()> {
        let shape: LoadShape = read(&shape)?;
        now(&stage, |stage| {
            stage.start_load(shape);
            Ok(())
        })
    });
    let stage = sync::Arc::clone(shared);
    let resend = move |shape: Map, times: i64| -> ScriptResult<()> {
        let (shape, times) = (read(&shape)?, usize::try_from(times).unwrap_or(0));
        step(&stage, async |stage| stage.resend(shape, times).await)
    };
    engine.register_fn("resend", resend);
    let stage = sync::Arc::clone(shared);
    engine.register_fn("end_loads", move || -> ScriptResult<()> {
        step(&stage, async |stage| stage.end_loads().await.map(|_| ()))
    });
    let stage = sync::Arc::clone(shared);
    engine.register_fn("check", move || -> ScriptResult<()> {
        step(&stage, async |stage| stage.check().await)
    });
    let stage = sync::Arc::clone(shared);
    let expect = move |outcome: &str, least: i64| -> ScriptResult<()> {
        let least = usize::try_from(least).unwrap_or(0);
        now(&stage, |stage| stage.expect_told(outcome, least))
    };
    engine.register_fn("expect_told", expect);
    let stage = sync::Arc::clone(shared);
    engine.register_fn("expect_crashed", move |most: i64| -> ScriptResult<()> {
        let most = usize::try_from(most).unwrap_or(0);
        step(&stage, async |stage| stage.expect_crashed(most).await)
    });
    let stage = sync::Arc::clone(shared);
    engine.register_fn("watch_floor", move |share: f64| -> ScriptResult<()> {
        now(&stage, |stage| stage.watch_floor(share))
    });
}

fn register_gateways(engine: &mut Engine, shared: &SharedStage) {
    let signals = [
        ("kill", FleetSignal::Kill),
        ("freeze", FleetSignal::Stop),
        ("thaw", FleetSignal::Cont),
        ("stop", FleetSignal::Term),
    ];
    for (name, signal) in signals {
        let stage = sync::Arc::clone(shared);
        engine.register_fn(name, move |listed: Array| -> ScriptResult<()> {
            now(&stage, |stage| stage.signal(&indices(&listed), signal))
        });
    }
    let stage = sync::Arc::clone(shared);
    let stopped = move |listed: Array, limit: i64| -> ScriptResult<()> {
        let (listed, limit) = (indices(&listed), u64::try_from(limit).unwrap_or(0));
        step(&stage, async |stage| {
            stage.wait_stopped(&listed, limit).await
        })
    };
    engine.register_fn("stopped", stopped);
    for (name, is_new) in [("restart", false), ("replace", true)] {
        let stage = sync::Arc::clone(shared);
        engine.register_fn(name, move |listed: Array| -> ScriptResult<()> {
            let listed = indices(&listed);
            step(&stage, async |stage| stage.restart(&listed, is_new).await)
        });
    }
}

fn register_cuts(engine: &mut Engine, shared: &SharedStage) {
    let stage = sync::Arc::clone(shared);
    let cut = move |from: Array, to: Array| -> ScriptResult<()> {
        let (from, to) = (indices(&from), indices(&to));
        step(&stage, async |stage| stage.cut(&from, &to).await)
    };
    engine.register_fn("cut", cut);
    let directions = [
        ("cut_requests", LinkDirection::Upstream),
        ("cut_answers", LinkDirection::Downstream),
    ];
    for (name, direction) in directions {
        let stage = sync::Arc::clone(shared);
        let cut = move |gateways: Array, servers: Array| -> ScriptResult<()> {
            let (gateways, servers) = (indices(&gateways), indices(&servers));
            step(&stage, async |stage| {
                stage.cut_servers(&gateways, &servers, direction).await
            })
        };
        engine.register_fn(name, cut);
    }
    let stage = sync::Arc::clone(shared);
    engine.register_fn("heal", move || -> ScriptResult<()> {
        step(&stage, async |stage| stage.heal().await)
    });
    for (name, is_reachable) in [("unreachable", false), ("reachable", true)] {
        let stage = sync::Arc::clone(shared);
        engine.register_fn(name, move |listed: Array| -> ScriptResult<()> {
            let listed = indices(&listed);
            now(&stage, |stage| stage.set_reachable(&listed, is_reachable))
        });
    }
}

fn register_servers(engine: &mut Engine, shared: &SharedStage) {
    let stage = sync::Arc::clone(shared);
    let pick = move |pool: &str, each: i64| -> ScriptResult<Array> {
        let each = usize::try_from(each).unwrap_or(0);
        now(&stage, |stage| stage.pick_servers(pool, each)).map(to_array)
    };
    engine.register_fn("pick_servers", pick);
    for (name, is_healthy) in [("faults", false), ("mild_faults", true)] {
        let stage = sync::Arc::clone(shared);
        let set = move |servers: Array, faults: Map| -> ScriptResult<()> {
            let (servers, faults): (_, BackendFaults) = (indices(&servers), read(&faults)?);
            step(&stage, async |stage| {
                stage.set_faults(&servers, faults, is_healthy).await
            })
        };
        engine.register_fn(name, set);
    }
    let stage = sync::Arc::clone(shared);
    let leave = move |servers: Array, drains: bool| -> ScriptResult<()> {
        let servers = indices(&servers);
        step(&stage, async |stage| stage.leave(&servers, drains).await)
    };
    engine.register_fn("leave", leave);
}

fn register_tables(engine: &mut Engine, shared: &SharedStage) {
    let stage = sync::Arc::clone(shared);
    engine.register_fn("platform", move |faults: Map| -> ScriptResult<()> {
        let faults: PlatformFaults = read(&faults)?;
        step(&stage, async |stage| stage.set_platform(faults).await)
    });
    // Operators, whether the table is valid, and whether readers of the platform can see it.
    let edits = [
        ("edit", 1, true, true),
        ("edit_together", 2, true, true),
        ("edit_wrong", 1, false, true),
        ("edit_unseen", 1, true, false),
    ];
    for (name, operators, is_valid, is_visible) in edits {
        let stage = sync::Arc::clone(shared);
        engine.register_fn(name, move || -> ScriptResult<()> {
            step(&stage, async |stage| {
                stage.edit(operators, is_valid, is_visible).await
            })
        });
    }
    let stage = sync::Arc::clone(shared);
    engine.register_fn("watch_tables", move || -> ScriptResult<()> {
        now(&stage, Stage::watch_tables)
    });
}

/// Runs an asynchronous step of the stage.
fn step<T>(
    shared: &SharedStage,
    work: impl AsyncFnOnce(&mut Stage) -> StepResult<T>,
) -> ScriptResult<T> {
    let mut stage = lock(shared);
    let handle = stage.handle.clone();
    Ok(handle.block_on(work(&mut stage))?)
}

/// Runs a step of the stage that waits for nothing.
fn now<T>(shared: &SharedStage, work: impl FnOnce(&mut Stage) -> StepResult<T>) -> ScriptResult<T> {
    Ok(work(&mut lock(shared))?)
}

fn read<T: DeserializeOwned>(map: &Map) -> ScriptResult<T> {
    let text = rhai::format_map_as_json(map);
    serde_json::from_str(&text).map_err(|error| error.to_string().into())
}

fn indices(listed: &Array) -> Vec<usize> {
    let numbers = listed.iter().filter_map(|each| each.as_int().ok());
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
